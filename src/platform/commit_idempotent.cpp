#include <fulmarjunction/platform/bounded_table_service.hpp>

#include <algorithm>

namespace fulmarjunction {

namespace {

// What the rows tell about a commit without a clear answer.
enum class read_back
{
    took_effect,
    /// A conditioned row among the written ones is still as expected.
    not_yet,
    cannot_tell
};

struct read_back_result
{
    read_back what = read_back::cannot_tell;
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

// A value that equals the written one is no proof while the row still has
// the version from before the transaction.
bool is_unchanged(
    const std::optional<table_row>& row, const row_condition* condition)
{
    return condition != nullptr &&
           (row ? row->version : 0) == condition->expected;
}

awaitable<result<read_back_result>>
read_written(table_service& service, const table_transaction& change)
{
    read_back_result seen{read_back::took_effect, 0};
    bool differs = false;
    for (const auto& write : change.writes) {
        auto row = co_await service.get(write.key);
        if (!row)
            co_return row.error();
        const auto* condition = find_condition(change, write.key);
        if (is_unchanged(row.value(), condition))
            co_return read_back_result{read_back::not_yet, 0};
        if (!holds_write(row.value(), write))
            differs = true;
        else if (row.value())
            seen.version = std::max(seen.version, row.value()->version);
    }
    if (differs)
        seen.what = read_back::cannot_tell;
    co_return seen;
}

} // namespace

awaitable<result<table_version>>
commit_idempotent(table_service& service, table_transaction change)
{
    // Each round sends at most once; a store that loses several answers in a
    // row is left to the caller's next attempt.
    constexpr int max_rounds = 3;
    auto answer = co_await service.commit(change);
    for (int round = 1; round != max_rounds; ++round) {
        if (answer || !is_indeterminate(answer.error()))
            co_return answer;
        const auto seen = co_await read_written(service, change);
        if (!seen || seen.value().what == read_back::cannot_tell)
            co_return answer;
        if (seen.value().what == read_back::took_effect)
            co_return seen.value().version;
        auto again = co_await service.commit(change);
        // A conflict now may come from the first sending, which took effect
        // after the rows were read.
        if (!again && again.error().code == errc::conflict) {
            const auto last = co_await read_written(service, change);
            if (last && last.value().what == read_back::took_effect)
                co_return last.value().version;
            if (last && last.value().what == read_back::cannot_tell)
                co_return answer;
        }
        answer = std::move(again);
    }
    co_return answer;
}

} // namespace fulmarjunction
