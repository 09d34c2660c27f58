#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/platform/table_core.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace fulmarjunction {

namespace {

constexpr auto mode_names = make_enum_table<fault_mode>({
    {fault_mode::up, "up"},
    {fault_mode::down, "down"},
    {fault_mode::slow, "slow"},
    {fault_mode::lose_answers, "lose_answers"},
});

// Row keys occur in request targets and log lines, so they must be printable
// ASCII without spaces.
bool is_row_key(std::string_view key)
{
    constexpr std::size_t max_length = 512;
    return !key.empty() && key.size() <= max_length &&
           std::all_of(key.begin(), key.end(), [](char c) {
               return c > 0x20 && c < 0x7f;
           });
}

result<void> check_shape(const table_transaction& change)
{
    if (change.writes.empty() || change.writes.size() > max_transaction_rows ||
        change.conditions.size() > max_transaction_rows) {
        return fail(
            errc::invalid_argument, "table.commit", {},
            fmt::format(
                "1 to {} writes and at most as many conditions",
                max_transaction_rows));
    }
    std::set<std::string_view> keys;
    for (const auto& write : change.writes) {
        if (!is_row_key(write.key) || !keys.insert(write.key).second) {
            return fail(
                errc::invalid_argument, "table.commit", {},
                fmt::format(
                    "key \"{}\" is not valid or comes twice", write.key));
        }
    }
    return boost::outcome_v2::success();
}

// Store and sleep hook of a call.
struct call_context
{
    table_core* core = nullptr;
    sleep_hook sleep;
};

awaitable<result<platform_fault>>
begin_call(call_context context, std::string step)
{
    const auto fault = context.core->take_fault();
    if (fault.mode == fault_mode::down)
        co_return fail(errc::unavailable, std::move(step), {}, "store is down");
    if (fault.mode == fault_mode::slow)
        co_await context.sleep(fault.delay);
    co_return fault;
}

bool loses_answer(const platform_fault& fault)
{
    return fault.mode == fault_mode::lose_answers;
}

auto lost_answer(std::string step)
{
    return fail(errc::connection_broken, std::move(step), {}, "answer lost");
}

awaitable<result<std::optional<table_row>>>
get_row(call_context context, std::string key)
{
    ++context.core->counters.gets;
    const auto fault = co_await begin_call(context, "table.get");
    if (!fault)
        co_return fault.error();
    if (loses_answer(fault.value()))
        co_return lost_answer("table.get");
    co_return context.core->get(key);
}

awaitable<result<row_list>>
list_rows(call_context context, table_version after, std::size_t limit)
{
    ++context.core->counters.lists;
    const auto fault = co_await begin_call(context, "table.list");
    if (!fault)
        co_return fault.error();
    if (loses_answer(fault.value()))
        co_return lost_answer("table.list");
    co_return context.core->list(after, limit);
}

awaitable<result<table_version>>
commit_rows(call_context context, table_transaction change)
{
    ++context.core->counters.commits;
    const auto fault = co_await begin_call(context, "table.commit");
    if (!fault)
        co_return fault.error();
    auto committed = context.core->commit(change);
    if (loses_answer(fault.value()))
        co_return lost_answer("table.commit");
    co_return committed;
}

awaitable<result<std::string>>
get_named_object(call_context context, std::string name)
{
    const auto fault = co_await begin_call(context, "object.get");
    if (!fault)
        co_return fault.error();
    if (loses_answer(fault.value()))
        co_return lost_answer("object.get");
    auto data = context.core->get_object(name);
    if (!data)
        co_return fail(errc::not_found, "object.get", {}, name);
    co_return std::move(*data);
}

awaitable<result<void>>
put_named_object(call_context context, std::string name, std::string data)
{
    const auto fault = co_await begin_call(context, "object.put");
    if (!fault)
        co_return fault.error();
    context.core->put_object(name, std::move(data));
    if (loses_answer(fault.value()))
        co_return lost_answer("object.put");
    co_return boost::outcome_v2::success();
}

} // namespace

std::string_view to_string(fault_mode value)
{
    return mode_names.name(value);
}

std::optional<fault_mode> parse_fault_mode(std::string_view name)
{
    return mode_names.value(name);
}

std::optional<table_row> table_core::get(std::string_view key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end() || found->second.deleted)
        return std::nullopt;
    return found->second;
}

row_list table_core::list(table_version after, std::size_t limit) const
{
    row_list listed;
    listed.head = head_;
    listed.complete_to = std::max(after, head_);
    if (after >= head_)
        return listed;
    limit = std::clamp<std::size_t>(limit, 1, max_listed_rows);
    auto next = keys_by_version_.lower_bound({after + 1, std::string()});
    while (next != keys_by_version_.end()) {
        const auto version = next->first;
        const auto end =
            keys_by_version_.lower_bound({version + 1, std::string()});
        const auto size = static_cast<std::size_t>(std::distance(next, end));
        if (!listed.rows.empty() && listed.rows.size() + size > limit) {
            listed.complete_to = listed.rows.back().version;
            return listed;
        }
        for (; next != end; ++next)
            listed.rows.push_back(rows_.find(next->second)->second);
    }
    return listed;
}

result<void> table_core::check_conditions(const table_transaction& change) const
{
    for (const auto& condition : change.conditions) {
        const auto row = get(condition.key);
        const auto actual = row ? row->version : 0;
        if (actual != condition.expected) {
            return fail(
                errc::conflict, "table.commit", {},
                fmt::format(
                    "row {} is at version {}, expected {}", condition.key,
                    actual, condition.expected));
        }
    }
    return boost::outcome_v2::success();
}

result<table_version> table_core::commit(const table_transaction& change)
{
    BOOST_OUTCOME_TRYV(check_shape(change));
    BOOST_OUTCOME_TRYV(check_conditions(change));
    ++head_;
    for (const auto& write : change.writes) {
        auto& row = rows_[write.key];
        if (row.version != 0)
            keys_by_version_.erase({row.version, write.key});
        row = table_row{
            write.key, write.value.value_or(nullptr), head_, !write.value};
        keys_by_version_.emplace(head_, write.key);
    }
    return head_;
}

std::optional<std::string> table_core::get_object(std::string_view name) const
{
    const auto found = objects_.find(name);
    if (found == objects_.end())
        return std::nullopt;
    return found->second;
}

void table_core::put_object(std::string_view name, std::string data)
{
    objects_.insert_or_assign(std::string(name), std::move(data));
}

platform_fault table_core::take_fault()
{
    const auto current = fault_;
    if (fault_.count != 0 && --fault_.count == 0)
        fault_ = {};
    return current;
}

table_service make_table_service(table_core& core, sleep_hook sleep)
{
    const call_context context{&core, std::move(sleep)};
    table_service service;
    service.get = [context](std::string key) {
        return get_row(context, std::move(key));
    };
    service.list = [context](table_version after, std::size_t limit) {
        return list_rows(context, after, limit);
    };
    service.commit = [context](table_transaction change) {
        return commit_rows(context, std::move(change));
    };
    return service;
}

object_store make_object_store(table_core& core, sleep_hook sleep)
{
    const call_context context{&core, std::move(sleep)};
    object_store store;
    store.get = [context](std::string name) {
        return get_named_object(context, std::move(name));
    };
    store.put = [context](std::string name, std::string data) {
        return put_named_object(context, std::move(name), std::move(data));
    };
    return store;
}

} // namespace fulmarjunction
