#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/membership/own_row.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Renewals in a lease: two may fail before it lapses.
constexpr int renewals_per_lease = 3;
constexpr duration max_wait = seconds(60);
/// A backend server announces itself each second; waiting for it saves the
/// fleet a second version of the row at each start.
constexpr duration service_wait = seconds(2);
/// Clock rates of instances differ by less than this fraction.
constexpr int clock_rate_divisor = 100;
/// A deletion that was returned is returned again after this time: its
/// answer may have been lost.
constexpr duration delete_again_after = seconds(30);

} // namespace

own_row::own_row(
    instance_record record, time_point start,
    std::function<std::uint64_t()> random, duration retry_after)
    : wanted_(std::move(record)), random_(std::move(random)),
      first_wait_(retry_after), wait_(retry_after), due_(start),
      service_due_(start + service_wait)
{
    wanted_.renewals = 0;
}

bool own_row::is_renewal_due(time_point now) const
{
    return !renewed_at_ ||
           now - *renewed_at_ >= wanted_.lease / renewals_per_lease;
}

bool own_row::is_settled() const
{
    if (flight_ != flight::none || must_read_)
        return false;
    if (removing_)
        return removed_;
    return in_row_ && *in_row_ == wanted_;
}

bool own_row::is_lease_valid(time_point now) const
{
    return lease_until_ && now < *lease_until_ && !superseded_;
}

own_row_action own_row::next(time_point now)
{
    if (flight_ != flight::none || now < due_ || superseded_ || removed_)
        return {};
    if (must_read_)
        return read_step();
    if (!announced_ && wanted_.service.empty() && now < service_due_)
        return {};
    if (removing_ || !in_row_ || is_renewal_due(now) || *in_row_ != wanted_)
        return write_step(now);
    return {};
}

own_row_action own_row::read_step()
{
    flight_ = flight::read;
    return {own_row_step::read, instance_row_key(wanted_.name), {}};
}

own_row_action own_row::write_step(time_point now)
{
    own_row_action action;
    action.step = own_row_step::commit;
    action.key = instance_row_key(wanted_.name);
    action.change.conditions.push_back({action.key, row_version_});
    sent_at_ = now;
    if (removing_) {
        in_doubt_.reset();
        action.change.writes.push_back({action.key, std::nullopt});
    } else {
        ++wanted_.renewals;
        in_doubt_ = wanted_;
        action.change.writes.push_back({action.key, to_json(wanted_)});
    }
    flight_ = flight::commit;
    return action;
}

void own_row::read(const result<std::optional<table_row>>& row, time_point now)
{
    flight_ = flight::none;
    if (!row) {
        back_off(now);
        return;
    }
    wait_ = first_wait_;
    due_ = now;
    must_read_ = false;
    take_row(row.value(), now);
}

void own_row::take_row(const std::optional<table_row>& row, time_point now)
{
    if (!row || row->deleted) {
        row_version_ = 0;
        in_row_.reset();
        in_doubt_.reset();
        removed_ = removing_;
        return;
    }
    row_version_ = row->version;
    const auto record = parse_instance_record(row->key, row->value);
    if (!record) {
        // Written over: only this instance writes its row.
        in_row_.reset();
        in_doubt_.reset();
        return;
    }
    take_present_row(record.value(), now);
}

void own_row::take_present_row(const instance_record& record, time_point)
{
    if (record.incarnation > wanted_.incarnation ||
        (record.incarnation == wanted_.incarnation && !announced_ &&
         !in_doubt_)) {
        if (announced_ || in_doubt_) {
            log(log_level::error, "instance_superseded",
                {{"incarnation", record.incarnation}});
            superseded_ = true;
            return;
        }
        wanted_.incarnation = record.incarnation + 1;
    }
    if (record.incarnation != wanted_.incarnation) {
        in_row_.reset();
        in_doubt_.reset();
        return;
    }
    in_row_ = record;
    wanted_.renewals = std::max(wanted_.renewals, record.renewals);
    const bool took_effect = in_doubt_ && *in_doubt_ == record;
    in_doubt_.reset();
    if (took_effect)
        confirm(row_version_);
}

void own_row::confirm(table_version version)
{
    row_version_ = version;
    announced_ = true;
    renewed_at_ = sent_at_;
    lease_until_ = sent_at_ + wanted_.lease;
}

void own_row::committed(const result<table_version>& outcome, time_point now)
{
    flight_ = flight::none;
    if (outcome) {
        wait_ = first_wait_;
        due_ = now;
        if (removing_ && !in_doubt_) {
            removed_ = true;
            in_row_.reset();
            return;
        }
        in_row_ = std::exchange(in_doubt_, std::nullopt);
        confirm(outcome.value());
        return;
    }
    // Whether the write took effect is open, or another write came between:
    // the row tells.
    must_read_ = true;
    back_off(now);
}

void own_row::back_off(time_point now)
{
    // Between half and all of the wait, so that a fleet does not come back
    // in step after an outage.
    constexpr std::uint64_t steps = 1024;
    const auto part = static_cast<std::int64_t>(random_() % steps);
    due_ = now + wait_ / 2 + wait_ / 2 * part / static_cast<int>(steps);
    wait_ = std::min(2 * wait_, max_wait);
}

void own_row::set_backend(const service_name& service, std::size_t slots)
{
    wanted_.service = service;
    wanted_.slots = slots;
}

void own_row::mark_leaving()
{
    wanted_.leaving = true;
}

void own_row::remove()
{
    removing_ = true;
}

void lease_expiry_monitor::apply_row(const table_row& row, time_point now)
{
    if (!row.key.starts_with(instance_row_prefix))
        return;
    const auto record =
        row.deleted
            ? result<instance_record>(fail(errc::not_found, "instance.row"))
            : parse_instance_record(row.key, row.value);
    if (!record) {
        entries_.erase(row.key);
        return;
    }
    const auto& now_read = record.value();
    auto& held = entries_[row.key];
    const bool renewed = held.version == 0 ||
                         held.incarnation != now_read.incarnation ||
                         held.renewals != now_read.renewals;
    if (renewed)
        held.first_read = now;
    held.name = now_read.name;
    held.incarnation = now_read.incarnation;
    held.renewals = now_read.renewals;
    held.version = row.version;
    // In units of the clock, so that a short lease's hundredth is not lost.
    held.lease = duration(now_read.lease) +
                 duration(now_read.lease) / clock_rate_divisor;
    held.next_try = held.first_read + held.lease;
    next_look_ = std::min(next_look_, held.next_try);
}

bool lease_expiry_monitor::is_expired(
    const instance_name& name, incarnation_number incarnation,
    time_point now) const
{
    const auto found = entries_.find(instance_row_key(name));
    if (found == entries_.end() || found->second.incarnation != incarnation)
        return true;
    return now - found->second.first_read >= found->second.lease;
}

std::vector<table_transaction> lease_expiry_monitor::due_deletions(
    time_point now, const instance_name& self,
    const std::vector<instance_name>& live, std::size_t limit)
{
    std::vector<table_transaction> deletions;
    if (now < next_look_)
        return deletions;
    next_look_ = time_point::max();
    for (auto& [key, held] : entries_) {
        next_look_ = std::min(next_look_, held.next_try);
        if (now < held.next_try || deletions.size() == limit)
            continue;
        const bool is_live =
            std::find(live.begin(), live.end(), held.name) != live.end();
        const auto first = rendezvous_first(key, live);
        if (is_live || !first || live[*first] != self)
            continue;
        held.next_try = now + delete_again_after;
        deletions.push_back({{{key, held.version}}, {{key, std::nullopt}}});
    }
    return deletions;
}

} // namespace fulmarjunction
