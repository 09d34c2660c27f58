#include <fulmarjunction/routes/service_map.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fulmarjunction {

namespace {

constexpr std::size_t key_hash_bytes = 16;

/// Random key of this process, so that the hashes in its memory are of no use
/// elsewhere.
const std::array<unsigned char, crypto_generichash_KEYBYTES>& process_hash_key()
{
    static const auto key = [] {
        std::array<unsigned char, crypto_generichash_KEYBYTES> bytes{};
        randombytes_buf(bytes.data(), bytes.size());
        return bytes;
    }();
    return key;
}

std::string keyed_hash(std::string_view caller_key)
{
    std::string hash(key_hash_bytes, '\0');
    const auto& key = process_hash_key();
    crypto_generichash(
        reinterpret_cast<unsigned char*>(hash.data()), hash.size(),
        reinterpret_cast<const unsigned char*>(caller_key.data()),
        caller_key.size(), key.data(), key.size());
    return hash;
}

std::string normalized_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == host.npos)
        host = host.substr(0, colon);
    std::string lower(host);
    for (auto& c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

bool same_targets(
    const std::vector<weighted_service>& left,
    const std::vector<weighted_service>& right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](const weighted_service& a, const weighted_service& b) {
            return a.service == b.service && a.weight == b.weight;
        });
}

} // namespace

service_map::service_map(service_document document)
    : version_(document.version), limits_(document.limits),
      routes_(std::move(document.routes)),
      health_paths_(std::move(document.health_paths))
{
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        routes_[i].host = normalized_host(routes_[i].host);
        by_host_[routes_[i].host].push_back(i);
    }
    for (auto& [host, indexes] : by_host_) {
        std::stable_sort(
            indexes.begin(), indexes.end(),
            [this](std::size_t a, std::size_t b) {
                return routes_[a].prefix.size() > routes_[b].prefix.size();
            });
    }
    for (auto& account : document.accounts) {
        for (const auto& key : account.keys)
            by_key_hash_.emplace(keyed_hash(key), plans_.size());
        plans_.push_back(std::move(account.plan));
    }
}

const route*
service_map::find_route(std::string_view host, std::string_view target) const
{
    const auto found = by_host_.find(normalized_host(host));
    if (found == by_host_.end())
        return nullptr;
    const auto path = target.substr(0, target.find('?'));
    for (const auto index : found->second) {
        if (path.starts_with(routes_[index].prefix))
            return &routes_[index];
    }
    return nullptr;
}

const account_plan* service_map::find_account(std::string_view key) const
{
    const auto found = by_key_hash_.find(keyed_hash(key));
    return found == by_key_hash_.end() ? nullptr : &plans_[found->second];
}

std::string_view service_map::health_path(const service_name& service) const
{
    const auto found = health_paths_.find(service);
    return found == health_paths_.end() ? std::string_view() : found->second;
}

service_name split_chooser::choose(const route& matched)
{
    if (matched.targets.size() == 1)
        return matched.targets.front().service;
    auto& current = by_route_[matched.name];
    if (!same_targets(current.targets, matched.targets)) {
        current.targets = matched.targets;
        current.credit.assign(matched.targets.size(), 0);
    }
    double total = 0;
    std::size_t best = 0;
    for (std::size_t i = 0; i < current.targets.size(); ++i) {
        current.credit[i] += current.targets[i].weight;
        total += current.targets[i].weight;
        if (current.credit[i] > current.credit[best])
            best = i;
    }
    if (current.targets.empty())
        return {};
    current.credit[best] -= total;
    return current.targets[best].service;
}

unsigned
rank_of(std::optional<unsigned> account_priority, unsigned route_priority)
{
    // More than any priority of a route.
    constexpr unsigned ranks_per_account_priority = 10'000;
    return account_priority.value_or(route_priority) *
               ranks_per_account_priority +
           std::min(route_priority, ranks_per_account_priority - 1);
}

} // namespace fulmarjunction
