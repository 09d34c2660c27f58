#include <fulmarjunction/core/address.hpp>
#include <fulmarjunction/core/enum_table.hpp>
#include <fulmarjunction/core/object_reader.hpp>
#include <fulmarjunction/fleet/fleet_view.hpp>

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace fulmarjunction {

namespace json = boost::json;

namespace {

constexpr std::size_t max_report_bytes = 4096;
constexpr std::size_t max_name_bytes = 200;
/// Two store readers, so that the loss of one has no effect, and one for each
/// `nodes_per_store_reader` nodes in larger fleets.
constexpr std::size_t min_store_readers = 2;
constexpr std::size_t nodes_per_store_reader = 40;

constexpr std::uint64_t max_slots = 1'000'000;
/// In hundredths of requests per second.
constexpr std::uint64_t max_throttled = 1'000'000'000;
/// Costs and pressures are sent as whole hundredths.
constexpr double wire_scale = 100;

constexpr auto state_names = make_enum_table<backend_state>({
    {backend_state::absent, "absent"},
    {backend_state::ready, "ready"},
    {backend_state::draining, "draining"},
});

std::uint64_t to_hundredths(double value)
{
    return static_cast<std::uint64_t>(value * wire_scale);
}

double from_hundredths(std::uint64_t value)
{
    return static_cast<double>(value) / wire_scale;
}

std::uint64_t
rendezvous_weight(const instance_name& node, const client_account& account)
{
    const auto seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(account.data(), account.size(), seed);
}

bool is_newer(const node_report& report, const node_report& known)
{
    if (report.incarnation != known.incarnation)
        return report.incarnation > known.incarnation;
    return report.sequence > known.sequence;
}

} // namespace

std::string_view to_string(backend_state value)
{
    return state_names.name(value);
}

std::optional<backend_state> parse_backend_state(std::string_view name)
{
    return state_names.value(name);
}

std::string format_report(const node_report& report)
{
    // Short field names, since reports continuously cross availability zones.
    json::object text{
        {"n", report.node},
        {"l", report.incarnation},
        {"q", report.sequence},
        {"a", report.peer_address},
        {"z", report.zone},
        {"s", report.service},
        {"i", report.backend_id},
        {"t", to_string(report.state)},
        {"m", report.limit},
        {"b", report.load},
        {"c", to_hundredths(report.run_cost)},
    };
    if (report.pressure > 0)
        text["p"] = to_hundredths(report.pressure);
    if (report.throttled_per_s > 0) {
        text["w"] = report.throttled_service;
        text["v"] = to_hundredths(report.throttled_per_s);
    }
    return json::serialize(text);
}

result<node_report> parse_report(std::string_view text)
{
    BOOST_OUTCOME_TRY(
        auto document, parse_json(text, max_report_bytes, "parse report"));
    object_reader fields(document, "parse report");
    node_report report;
    report.node = fields.text("n", max_name_bytes, 1);
    report.incarnation = fields.number("l");
    report.sequence = fields.number("q");
    report.peer_address = fields.text("a", max_name_bytes, 1);
    report.zone = fields.text("z", max_name_bytes);
    report.service = fields.text("s", max_name_bytes);
    report.backend_id = fields.text("i", max_name_bytes);
    const auto state = parse_backend_state(fields.text("t", max_name_bytes));
    if (!state)
        fields.set_error("t", "is not a state");
    report.state = state.value_or(backend_state::absent);
    report.limit = fields.number("m", max_slots);
    report.load = fields.number("b", max_slots);
    report.run_cost = from_hundredths(fields.number("c", max_slots));
    if (fields.has("p"))
        report.pressure = from_hundredths(fields.number("p", max_slots));
    if (fields.has("w")) {
        report.throttled_service = fields.text("w", max_name_bytes);
        report.throttled_per_s =
            from_hundredths(fields.number("v", max_throttled));
    }
    BOOST_OUTCOME_TRY(fields.finish());
    return report;
}

fleet_view::fleet_view(instance_name self, duration forget_after)
    : self_(std::move(self)), forget_after_(forget_after)
{
}

void fleet_view::notify_changed() const
{
    if (on_change)
        on_change();
}

void fleet_view::learn(const node_report& row, time_point now)
{
    const auto address = parse_address(row.peer_address);
    if (row.node == self_ || !address || has_departed(row))
        return;
    const auto found = members_.find(row.node);
    if (found != members_.end() &&
        found->second.report.incarnation >= row.incarnation)
        return;
    fleet_member member;
    member.report = row;
    member.address = *address;
    member.learned_at = now;
    members_[row.node] = std::move(member);
    notify_changed();
}

void fleet_view::recall(const node_report& row, time_point now)
{
    if (members_.contains(row.node))
        return;
    learn(row, now);
    mark_unreachable(row.node, peer_failure::refused, now);
}

bool fleet_view::receive(const node_report& report, time_point now)
{
    const auto address = parse_address(report.peer_address);
    if (report.node == self_ || !address || has_departed(report))
        return false;
    auto& member = members_[report.node];
    if (member.report.node.empty())
        member.learned_at = now;
    else if (!is_newer(report, member.report))
        return false;
    const auto& known = member.report;
    const bool differs = known.incarnation != report.incarnation ||
                         known.backend_id != report.backend_id ||
                         known.state != report.state ||
                         known.limit != report.limit || !member.is_reachable;
    member.report = report;
    member.address = *address;
    member.received_at = now;
    member.is_reachable = true;
    member.has_ended = false;
    if (on_report)
        on_report(report);
    if (differs)
        notify_changed();
    return differs;
}

void fleet_view::mark_unreachable(
    const instance_name& node, peer_failure failure, time_point now)
{
    const auto found = members_.find(node);
    if (found == members_.end())
        return;
    auto& member = found->second;
    // A node that has ended stays so until it reports, even if its machine is
    // gone as well.
    const bool has_ended = member.has_ended || failure == peer_failure::refused;
    const bool differs = member.is_reachable || member.has_ended != has_ended;
    if (member.is_reachable)
        member.unreachable_since = now;
    member.is_reachable = false;
    member.has_ended = has_ended;
    if (differs)
        notify_changed();
}

bool fleet_view::has_departed(const node_report& report) const
{
    const auto found = departed_.find(report.node);
    return found != departed_.end() &&
           report.incarnation <= found->second.incarnation;
}

void fleet_view::remove(
    const instance_name& node, incarnation_number incarnation, time_point now)
{
    auto& departed = departed_[node];
    departed = {std::max(departed.incarnation, incarnation), now};
    const auto found = members_.find(node);
    if (found == members_.end() ||
        found->second.report.incarnation > incarnation)
        return;
    members_.erase(found);
    notify_changed();
}

void fleet_view::expire(time_point now)
{
    std::erase_if(departed_, [&](const auto& entry) {
        return now - entry.second.left_at >= forget_after_;
    });
    const auto count = std::erase_if(members_, [&](const auto& entry) {
        const auto& member = entry.second;
        return !member.is_reachable &&
               now - member.unreachable_since >= forget_after_;
    });
    if (count > 0)
        notify_changed();
}

const fleet_member* fleet_view::find(const instance_name& node) const
{
    const auto found = members_.find(node);
    return found == members_.end() ? nullptr : &found->second;
}

double fleet_view::reachable_share() const
{
    std::size_t reachable = 1;
    std::size_t all = 1;
    for (const auto& [name, member] : members_) {
        if (member.has_ended)
            continue;
        ++all;
        reachable += member.is_reachable ? 1 : 0;
    }
    return static_cast<double>(reachable) / static_cast<double>(all);
}

instance_name fleet_view::ledger_node(const client_account& account) const
{
    auto best = self_;
    auto max_weight = rendezvous_weight(self_, account);
    bool is_replaceable = is_leaving_;
    for (const auto& [name, member] : members_) {
        if (!member.is_reachable)
            continue;
        const auto weight = rendezvous_weight(name, account);
        if (std::exchange(is_replaceable, false) || weight > max_weight) {
            max_weight = weight;
            best = name;
        }
    }
    return best;
}

std::vector<instance_name> fleet_view::store_readers() const
{
    // The last nodes by name. Of two nodes the one with the lower name starts
    // an exchange, and only the node that sends the request can tell how
    // old the answer is.
    std::vector<instance_name> names{self_};
    for (const auto& [name, member] : members_) {
        if (member.is_reachable)
            names.push_back(name);
    }
    std::sort(names.begin(), names.end(), std::greater<>());
    const auto count =
        std::max(min_store_readers, names.size() / nodes_per_store_reader);
    names.resize(std::min(count, names.size()));
    return names;
}

std::vector<instance_name> fleet_view::own_store_readers() const
{
    auto names = store_readers();
    const auto first = XXH3_64bits(self_.data(), self_.size()) % names.size();
    std::rotate(
        names.begin(), names.begin() + static_cast<std::ptrdiff_t>(first),
        names.end());
    names.resize(std::min(min_store_readers, names.size()));
    return names;
}

bool fleet_view::is_store_reader() const
{
    const auto names = store_readers();
    return std::find(names.begin(), names.end(), self_) != names.end();
}

} // namespace fulmarjunction
