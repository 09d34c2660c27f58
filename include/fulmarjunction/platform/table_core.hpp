/// @file
/// An in-memory table and object store with the platform's semantics, for
/// tests and for the platform stand-in.
#pragma once

#include <fulmarjunction/core/time.hpp>
#include <fulmarjunction/platform/table_service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace fulmarjunction {

/// Maximum number of conditions and of writes of one transaction.
constexpr std::size_t max_transaction_rows = 64;

/// Maximum number of rows that one `list` returns.
constexpr std::size_t max_listed_rows = 1000;

/// Fault that the store injects into calls.
enum class fault_mode
{
    up,
    /// Refuses calls without any effect.
    down,
    /// Delays calls before they have any effect.
    slow,
    /// Executes calls and drops their answers.
    lose_answers
};
std::string_view to_string(fault_mode value);
std::optional<fault_mode> parse_fault_mode(std::string_view name);

/// A fault and its duration in calls.
struct platform_fault
{
    fault_mode mode = fault_mode::up;
    milliseconds delay{0};
    /// Number of calls that it affects; 0 means until it is replaced.
    std::uint64_t count = 0;
};

/// Received calls, including failed ones.
struct platform_counters
{
    std::uint64_t gets = 0;
    std::uint64_t lists = 0;
    std::uint64_t commits = 0;
};

/// Rows, versioned by transaction. Deleted rows stay as tombstones, so that
/// readers are informed of the deletion.
class table_core
{
public:
    /// Returns the row, or nothing when it is absent or deleted.
    std::optional<table_row> get(std::string_view key) const;

    /// Returns rows and tombstones in version order. The rows of one version
    /// are never split, so fewer than `limit` may be returned; the first
    /// version may exceed a limit below `max_transaction_rows`.
    row_list list(table_version after, std::size_t limit) const;

    /// Applies the transaction atomically.
    /// @return the new version, `errc::conflict`, or
    ///         `errc::invalid_argument` for a transaction without writes,
    ///         with too many rows, or with a key twice
    result<table_version> commit(const table_transaction& change);

    table_version head() const { return head_; }

    std::optional<std::string> get_object(std::string_view name) const;
    void put_object(std::string_view name, std::string data);

    void set_fault(const platform_fault& fault) { fault_ = fault; }

    /// Returns the fault for the next call and counts the call against it.
    platform_fault take_fault();

    platform_counters counters;

private:
    result<void> check_conditions(const table_transaction& change) const;

    std::map<std::string, table_row, std::less<>> rows_;
    std::set<std::pair<table_version, std::string>> keys_by_version_;
    std::map<std::string, std::string, std::less<>> objects_;
    table_version head_ = 0;
    platform_fault fault_;
};

/// Sleeps; tests pass one that uses a virtual clock.
using sleep_hook = std::function<awaitable<void>(duration span)>;

/// Returns a table service on the core, with the core's faults. The core must
/// outlive the service and its calls.
table_service make_table_service(table_core& core, sleep_hook sleep);

/// Returns an object store on the core, under the same conditions.
object_store make_object_store(table_core& core, sleep_hook sleep);

} // namespace fulmarjunction
