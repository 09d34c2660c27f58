#include "membership/instance_table.hpp"
#include "membership/status_json.hpp"

#include <fulmarjunction/core/log.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <compare>
#include <tuple>
#include <utility>

namespace fulmarjunction::detail {

namespace {

/// Interval at which reports are expired and it is determined which instances
/// are down.
constexpr duration expire_interval = milliseconds(500);
/// Limit on the instances known by a status whose record has not arrived.
constexpr std::size_t max_statuses_without_record = 4096;
/// Reports of different monitors that mark an instance as down.
constexpr std::size_t required_reports = 2;

incarnation_number
incarnation_of(const instance_record& record, const instance_status* status)
{
    return status == nullptr
               ? record.incarnation
               : std::max(record.incarnation, status->incarnation);
}

bool is_known_by(const std::vector<peer_id>& known_by, peer_id id)
{
    return std::find(known_by.begin(), known_by.end(), id) != known_by.end();
}

template <class Item>
std::size_t item_bytes(const Item& item)
{
    return boost::json::serialize(to_json(item)).size() + 1;
}

} // namespace

instance_table::instance_table(instance_name self) : self_(std::move(self)) {}

void instance_table::start_log(std::int64_t base)
{
    log_.clear();
    log_end_ = static_cast<std::uint64_t>(base);
}

void instance_table::invalidate_live()
{
    live_is_current_ = false;
}

void instance_table::record_change(
    log_reference& reference, const instance_name& about,
    const instance_name& reporter, peer_id from)
{
    erase_from_log(reference);
    reference.position = ++log_end_;
    reference.known_by.clear();
    if (from != 0)
        reference.known_by.push_back(from);
    log_.emplace(reference.position, log_item{about, reporter});
}

void instance_table::erase_from_log(const log_reference& reference)
{
    if (reference.position != 0)
        log_.erase(reference.position);
}

bool instance_table::has_own_row(incarnation_number incarnation) const
{
    const auto found = entries_.find(self_);
    return found != entries_.end() &&
           found->second.row_incarnation == incarnation;
}

void instance_table::set_own(
    const instance_status& status, time_point now, bool publish)
{
    auto& entry = entries_[self_];
    entry.status = status;
    entry.status->record.reset();
    entry.changed_at = now;
    if (status.record &&
        status.record->incarnation >= entry.record.incarnation) {
        const auto renewals = entry.record.renewals;
        entry.record = *status.record;
        entry.record.renewals = std::max(renewals, entry.record.renewals);
    }
    mark_existing(self_, entry);
    reindex(self_, entry);
    if (publish)
        record_change(entry.status_log_ref, self_, {}, 0);
}

void instance_table::mark_existing(
    const instance_name& name, instance_entry& entry)
{
    entry.exists = true;
    if (ring_.insert(name)) {
        neighbours_.reset();
        ring_changed_ = true;
    }
}

void instance_table::apply_row(const table_row& row, time_point now)
{
    if (!row.key.starts_with(instance_row_prefix))
        return;
    const auto name = row.key.substr(instance_row_prefix.size());
    if (row.deleted) {
        const auto found = entries_.find(name);
        if (found == entries_.end())
            return;
        auto& entry = found->second;
        const bool is_announced =
            entry.record.incarnation > entry.row_incarnation;
        entry.row_version = 0;
        entry.row_incarnation = 0;
        if (name != self_ && !is_announced)
            erase(found);
        else
            reindex(name, entry);
        return;
    }
    auto record = parse_instance_record(row.key, row.value);
    if (!record) {
        log(log_level::warning, "instance_row_malformed", {{"row", row.key}});
        return;
    }
    auto& entry = entries_[name];
    entry.row_version = row.version;
    entry.row_incarnation = record.value().incarnation;
    if (record.value().incarnation >= entry.record.incarnation && name != self_)
        entry.record = std::move(record).value();
    entry.changed_at = now;
    mark_existing(name, entry);
    reindex(name, entry);
}

bool instance_table::apply_status(
    const instance_status& status, peer_id from, time_point now)
{
    if (status.name == self_ || status.name.empty())
        return false;
    const auto known = entries_.find(status.name);
    if (known == entries_.end() &&
        entries_.size() >= ring_.size() + max_statuses_without_record)
        return false;
    auto& entry =
        known == entries_.end() ? entries_[status.name] : known->second;
    if (status.incarnation < entry.record.incarnation)
        return false;
    if (entry.status) {
        const auto& held = *entry.status;
        const auto order = std::tie(status.incarnation, status.counter) <=>
                           std::tie(held.incarnation, held.counter);
        if (std::is_eq(order) && from != 0)
            entry.status_log_ref.known_by.push_back(from);
        // The sender has an older status. The log may have passed this change
        // before the sender became a neighbour, so it is logged again.
        if (std::is_lt(order) && from != 0)
            record_change(entry.status_log_ref, status.name, {}, 0);
        if (std::is_lteq(order))
            return false;
    }
    entry.status = status;
    entry.status->record.reset();
    entry.changed_at = now;
    if (status.record &&
        status.record->incarnation > entry.record.incarnation) {
        entry.record = *status.record;
        mark_existing(status.name, entry);
    }
    record_change(entry.status_log_ref, status.name, {}, from);
    reindex(status.name, entry);
    return true;
}

void instance_table::apply_report(
    const failure_report& report, peer_id from, time_point now)
{
    const auto found = entries_.find(report.about);
    if (found == entries_.end() || report.expires_in <= milliseconds(0))
        return;
    if (report.incarnation < incarnation_of(report.about))
        return;
    auto& state = found->second.reports[report.reporter];
    if (state.sequence == report.sequence && from != 0)
        state.log_ref.known_by.push_back(from);
    if (state.sequence >= report.sequence)
        return;
    state.incarnation = report.incarnation;
    state.sequence = report.sequence;
    state.failing = report.failing;
    state.expires = now + report.expires_in;
    record_change(state.log_ref, report.about, report.reporter, from);
    reported_.insert(report.about);
}

incarnation_number
instance_table::incarnation_of(const instance_name& name) const
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
        return 0;
    const auto& status = found->second.status;
    return detail::incarnation_of(
        found->second.record, status ? &*status : nullptr);
}

bool instance_table::is_valid(
    const instance_entry& entry, const report_state& report,
    time_point now) const
{
    const auto incarnation = detail::incarnation_of(
        entry.record, entry.status ? &*entry.status : nullptr);
    return report.failing && report.incarnation == incarnation &&
           report.expires > now;
}

std::size_t
instance_table::valid_reports(const instance_name& name, time_point now) const
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
        return 0;
    const auto& reports = found->second.reports;
    return static_cast<std::size_t>(
        std::count_if(reports.begin(), reports.end(), [&](const auto& report) {
            return is_valid(found->second, report.second, now);
        }));
}

bool instance_table::is_discredited(
    const instance_name& reporter, time_point now) const
{
    return reporter != self_ &&
           valid_reports(reporter, now) >= required_reports;
}

bool instance_table::is_reported_down(
    const instance_name& name, const instance_entry& entry,
    time_point now) const
{
    std::size_t credible_reports = 0;
    bool has_unreported_reporter = false;
    for (const auto& [reporter, report] : entry.reports) {
        if (!is_valid(entry, report, now) || is_discredited(reporter, now))
            continue;
        ++credible_reports;
        has_unreported_reporter = has_unreported_reporter ||
                                  reporter == self_ ||
                                  valid_reports(reporter, now) == 0;
    }
    if (credible_reports >= required_reports)
        return true;
    if (credible_reports == 0 || !has_unreported_reporter)
        return false;
    // A single report suffices only if no second monitor is left.
    const auto monitors = ring_.monitors(name);
    const auto remaining = std::count_if(
        monitors.begin(), monitors.end(), [&](const instance_name& monitor) {
            return monitor == self_ || valid_reports(monitor, now) == 0;
        });
    return remaining < static_cast<std::ptrdiff_t>(required_reports);
}

void instance_table::drop_expired_reports(
    const instance_name& name, instance_entry& entry, time_point now)
{
    std::erase_if(entry.reports, [&](auto& report) {
        if (report.second.expires > now)
            return false;
        erase_from_log(report.second.log_ref);
        return true;
    });
    if (entry.reports.empty())
        reported_.erase(name);
}

bool instance_table::is_expiry_due(time_point now) const
{
    return now - last_expiry_ >= expire_interval;
}

void instance_table::expire(
    time_point now, duration forget_after,
    const std::set<instance_name>& reachable)
{
    last_expiry_ = now;
    const auto names = reported_;
    current_reports_ = 0;
    for (const auto& name : names) {
        auto& entry = entries_.at(name);
        drop_expired_reports(name, entry, now);
        current_reports_ += valid_reports(name, now);
    }
    for (const auto& name : names) {
        auto& entry = entries_.at(name);
        const bool down = name != self_ && !reachable.contains(name) &&
                          is_reported_down(name, entry, now);
        if (down == entry.down)
            continue;
        entry.down = down;
        entry.changed_at = now;
        invalidate_live();
        changed_services_.insert(entry.indexed_service);
    }
    for (const auto& name : std::set(without_row_)) {
        const auto found = entries_.find(name);
        const auto& entry = found->second;
        if ((entry.down || !entry.exists) &&
            now - entry.changed_at > forget_after)
            erase(found);
    }
}

void instance_table::erase(entry_map::iterator position)
{
    const auto name = position->first;
    auto& entry = position->second;
    erase_from_log(entry.status_log_ref);
    for (const auto& [reporter, report] : entry.reports)
        erase_from_log(report.log_ref);
    reported_.erase(name);
    without_row_.erase(name);
    invalidate_live();
    if (const auto set = by_service_.find(entry.indexed_service);
        set != by_service_.end()) {
        set->second.erase(name);
        if (set->second.empty())
            by_service_.erase(set);
    }
    changed_services_.insert(entry.indexed_service);
    if (ring_.erase(name)) {
        neighbours_.reset();
        ring_changed_ = true;
    }
    entries_.erase(position);
}

void instance_table::reindex(const instance_name& name, instance_entry& entry)
{
    invalidate_live();
    if (entry.row_version == 0 && name != self_)
        without_row_.insert(name);
    else
        without_row_.erase(name);
    const bool has_status =
        entry.status && entry.status->incarnation >= entry.record.incarnation;
    const auto& service =
        has_status ? entry.status->service : entry.record.service;
    if (entry.indexed_service != service) {
        changed_services_.insert(entry.indexed_service);
        auto& old = by_service_[entry.indexed_service];
        old.erase(name);
        if (old.empty())
            by_service_.erase(entry.indexed_service);
        entry.indexed_service = service;
    }
    if (service.empty())
        return;
    by_service_[service].insert(name);
    changed_services_.insert(service);
}

bool instance_table::is_probe_peer(const instance_name& name) const
{
    const auto contains = [&](const std::vector<instance_name>& names) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return contains(neighbours()) || contains(ring_.monitors(self_));
}

const std::vector<instance_name>& instance_table::neighbours() const
{
    if (!neighbours_)
        neighbours_ = ring_.neighbours(self_);
    return *neighbours_;
}

bool instance_table::take_ring_change()
{
    return std::exchange(ring_changed_, false);
}

std::set<service_name> instance_table::take_changed_services()
{
    auto services = std::exchange(changed_services_, {});
    services.erase(service_name());
    return services;
}

std::string instance_table::address_of(const instance_name& name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? std::string()
                                   : found->second.record.peer_address;
}

bool instance_table::is_down(const instance_name& name) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && found->second.down;
}

std::optional<instance_view>
instance_table::find(const instance_name& name) const
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || !found->second.exists)
        return std::nullopt;
    const auto& entry = found->second;
    return instance_view{
        entry.record, entry.status.value_or(instance_status{}),
        entry.row_version, entry.down};
}

std::size_t
instance_table::monitor_rank(const instance_name& name, time_point now) const
{
    std::size_t rank = 0;
    for (const auto& monitor : ring_.monitors(name)) {
        if (monitor == self_)
            break;
        if (valid_reports(monitor, now) == 0)
            ++rank;
    }
    return rank;
}

std::size_t instance_table::reports_by_others(
    const instance_name& name, time_point now) const
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
        return 0;
    std::size_t count = 0;
    for (const auto& [reporter, report] : found->second.reports) {
        if (reporter != self_ && is_valid(found->second, report, now) &&
            !is_discredited(reporter, now))
            ++count;
    }
    return count;
}

bool instance_table::is_implied(const instance_entry& entry) const
{
    const auto& status = *entry.status;
    return entry.row_incarnation == status.incarnation && status.ready &&
           !status.draining && !status.leaving &&
           status.service == entry.record.service &&
           status.slots == entry.record.slots;
}

std::optional<instance_status>
instance_table::status_to_send(const instance_name& name) const
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || !found->second.status)
        return std::nullopt;
    const auto& entry = found->second;
    auto status = *entry.status;
    if (entry.row_incarnation != status.incarnation &&
        entry.record.incarnation == status.incarnation)
        status.record = entry.record;
    return status;
}

bool instance_table::add_item(
    probe_message& message, const log_item& item, const log_cursor& cursor,
    std::uint64_t position, std::size_t& remaining_bytes, time_point now) const
{
    const auto& entry = entries_.at(item.about);
    if (item.reporter.empty()) {
        const bool is_skipped =
            is_known_by(entry.status_log_ref.known_by, cursor.id) ||
            (position <= cursor.implied_to && is_implied(entry));
        if (is_skipped)
            return true;
        auto status = status_to_send(item.about);
        const auto bytes = item_bytes(*status);
        if (bytes > remaining_bytes)
            return false;
        remaining_bytes -= bytes;
        message.statuses.push_back(std::move(*status));
        return true;
    }
    const auto& state = entry.reports.at(item.reporter);
    if (state.expires <= now || is_known_by(state.log_ref.known_by, cursor.id))
        return true;
    const failure_report report{
        item.about,    state.incarnation,
        item.reporter, state.sequence,
        state.failing, std::chrono::floor<milliseconds>(state.expires - now)};
    const auto bytes = item_bytes(report);
    if (bytes > remaining_bytes)
        return false;
    remaining_bytes -= bytes;
    message.reports.push_back(report);
    return true;
}

void instance_table::collect(
    probe_message& message, const log_cursor& cursor, std::size_t limit,
    time_point now) const
{
    auto remaining_bytes = limit;
    message.upto = cursor.acknowledged;
    auto next = log_.upper_bound(cursor.acknowledged);
    for (; next != log_.end(); ++next) {
        if (!add_item(
                message, next->second, cursor, next->first, remaining_bytes,
                now))
            return;
        message.upto = next->first;
    }
    message.upto = log_end_;
}

std::vector<service_candidate>
instance_table::candidates(const service_name& service) const
{
    std::vector<service_candidate> list;
    const auto found = by_service_.find(service);
    if (found == by_service_.end())
        return list;
    for (const auto& name : found->second) {
        const auto& entry = entries_.at(name);
        const auto& record = entry.record;
        if (!entry.exists || entry.down || record.leaving)
            continue;
        // An instance without a status counts as ready once its row names a
        // service; its node refuses requests that it cannot serve.
        service_candidate candidate{
            name, record.zone, record.slots, incarnation_of(name),
            record.peer_address};
        if (entry.status && entry.status->incarnation >= record.incarnation) {
            const auto& status = *entry.status;
            if (!status.ready || status.draining || status.leaving)
                continue;
            candidate.slots = status.slots;
        }
        list.push_back(std::move(candidate));
    }
    return list;
}

std::vector<service_name> instance_table::services() const
{
    std::vector<service_name> names;
    for (const auto& [service, instances] : by_service_)
        names.push_back(service);
    return names;
}

bool instance_table::is_live(const instance_entry& entry) const
{
    const bool has_status =
        entry.status && entry.status->incarnation >= entry.record.incarnation;
    const bool leaving =
        entry.record.leaving || (has_status && entry.status->leaving);
    return entry.exists && !entry.down && !leaving;
}

void instance_table::rebuild_live() const
{
    if (live_is_current_)
        return;
    live_is_current_ = true;
    live_.clear();
    zones_.clear();
    for (const auto& [name, entry] : entries_) {
        if (entry.exists)
            zones_.insert(entry.record.zone);
        if (!is_live(entry))
            continue;
        live_[entry.record.zone].push_back(name);
        live_[availability_zone()].push_back(name);
    }
}

const std::vector<instance_name>&
instance_table::live(const availability_zone& zone) const
{
    rebuild_live();
    return live_[zone];
}

const std::set<availability_zone>& instance_table::zones() const
{
    rebuild_live();
    return zones_;
}

std::size_t instance_table::state_bytes() const
{
    // Approximate overhead of a node of a standard container.
    constexpr std::size_t container_bytes = 64;
    std::size_t bytes = log_.size() * (sizeof(log_item) + container_bytes);
    for (const auto& [name, entry] : entries_) {
        bytes += sizeof(instance_entry) + 4 * container_bytes + 4 * name.size();
        bytes += entry.record.peer_address.size() +
                 entry.record.operator_address.size() +
                 entry.record.region.size();
        bytes +=
            entry.reports.size() *
            (sizeof(report_state) + sizeof(instance_name) + container_bytes);
    }
    return bytes;
}

} // namespace fulmarjunction::detail
