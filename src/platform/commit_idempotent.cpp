#include <fulmarjunction/platform/bounded_table_service.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

// What the written rows show about a commit with an indeterminate answer.
enum class read_back
{
    committed,
    /// A written row with a condition is still at its expected version.
    not_committed,
    indeterminate
};

struct read_back_result
{
    read_back state = read_back::indeterminate;
    table_version version = 0;
};

const row_condition*
find_condition(const table_transaction& change, const std::string& key)
{
    const auto found = std::find_if(
        change.conditions.begin(), change.conditions.end(),
        [&](const row_condition& condition) { return condition.key == key; });
    return found == change.conditions.end() ? nullptr : &*found;
}

bool holds_write(const std::optional<table_row>& row, const row_write& write)
{
    if (!write.value)
        return !row;
    return row && row->value == *write.value;
}

// A row that already held the written value proves a commit only if its
// version is newer than the expected one.
bool is_unchanged(
    const std::optional<table_row>& row, const row_condition* condition)
{
    return condition != nullptr &&
           (row ? row->version : 0) == condition->expected;
}

awaitable<result<read_back_result>>
read_written(table_service& service, const table_transaction& change)
{
    read_back_result seen{read_back::committed, 0};
    bool differs = false;
    for (const auto& write : change.writes) {
        auto row = co_await service.get(write.key);
        if (!row)
            co_return row.error();
        const auto* condition = find_condition(change, write.key);
        if (is_unchanged(row.value(), condition))
            co_return read_back_result{read_back::not_committed, 0};
        if (!holds_write(row.value(), write))
            differs = true;
        else if (row.value())
            seen.version = std::max(seen.version, row.value()->version);
    }
    if (differs)
        seen.state = read_back::indeterminate;
    co_return seen;
}

} // namespace

awaitable<result<table_version>>
commit_idempotent(table_service& service, table_transaction change)
{
    // Each round sends at most once. If the store loses several answers in
    // sequence, the caller decides about further attempts.
    constexpr int max_rounds = 3;
    auto answer = co_await service.commit(change);
    for (int round = 1; round != max_rounds; ++round) {
        if (answer || !is_indeterminate(answer.error()))
            co_return answer;
        const auto seen = co_await read_written(service, change);
        if (!seen || seen.value().state == read_back::indeterminate)
            co_return answer;
        if (seen.value().state == read_back::committed)
            co_return seen.value().version;
        auto retried = co_await service.commit(change);
        // This conflict may be caused by the previous attempt, if that took
        // effect after the rows were read.
        if (!retried && retried.error().code == errc::conflict) {
            const auto reread = co_await read_written(service, change);
            if (reread && reread.value().state == read_back::committed)
                co_return reread.value().version;
            if (reread && reread.value().state == read_back::indeterminate)
                co_return answer;
        }
        answer = std::move(retried);
    }
    co_return answer;
}

} // namespace fulmarjunction
