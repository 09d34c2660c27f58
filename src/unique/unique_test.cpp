#include <fulmarjunction/unique/key_issuer.hpp>

#include <catch2/catch.hpp>

#include <set>

namespace fj = fulmarjunction;

using fj::begin_verdict;
using fj::milliseconds;
using fj::outcome;
using fj::refusal_reason;

namespace {

const fj::time_point start{std::chrono::hours(1)};
const auto secret = fj::derive_key_secret("peer secret");

fj::time_point at(int ms)
{
    return start + milliseconds(ms);
}

fj::issuer_settings small_settings()
{
    fj::issuer_settings settings;
    settings.key_lifetime = milliseconds(10'000);
    return settings;
}

fj::key_issuer make_issuer(
    const std::string& name, fj::incarnation_number incarnation = 1,
    fj::issuer_settings settings = small_settings())
{
    return {settings, name, incarnation, secret, start};
}

std::string issue_key(fj::key_issuer& issuer, fj::time_point now = start)
{
    return issuer.issue("acct", 1, now).value().at(0);
}

fj::begin_decision
begin(fj::key_issuer& issuer, const std::string& key, fj::time_point now)
{
    return issuer.begin(key, "acct", "book", "digest", now);
}

fj::run_result answered(std::string body)
{
    return {outcome::answered, {}, fj::kept_answer{200, {}, std::move(body)}};
}

/// Performs a complete handover from one issuer to another.
bool hand_over(
    fj::key_issuer& from, const std::string& from_name, fj::key_issuer& to,
    const std::string& to_name, fj::time_point now)
{
    from.begin_stop(now);
    if (!from.freeze(to_name, 1, now))
        return false;
    for (const auto& piece : from.pieces(100)) {
        const auto read = fj::parse_handover_piece(to_text(piece.message));
        const auto receipt = to.adopt_piece(from_name, read.value(), now);
        from.confirm(to_name, receipt.value());
    }
    const auto change = from.write_handover();
    if (!change)
        return false;
    const auto row = fj::parse_handover_row(*change->writes[0].value);
    from.handover_written();
    to.apply_handover_row(row.value(), now);
    return true;
}

} // namespace

TEST_CASE("each key has one text form and no other is accepted", "[unique]")
{
    const fj::idempotency_key key{"node", 7, 9, "acct", 1000};
    const auto text = format_key(key, secret).value();
    CHECK(parse_key(text, secret).value() == key);
    CHECK_FALSE(parse_key(text, fj::derive_key_secret("other")));
    CHECK_FALSE(parse_key(text + "=", secret));
    CHECK_FALSE(parse_key(text + "\n", secret));
    CHECK_FALSE(parse_key(" " + text, secret));
    CHECK_FALSE(parse_key("", secret));
    CHECK_FALSE(parse_key(std::string(10'000, 'a'), secret));
    for (std::size_t i = 0; i != text.size(); ++i) {
        auto changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(parse_key(changed, secret));
        CHECK_FALSE(parse_key(text.substr(0, i), secret));
    }
    const fj::idempotency_key max_key{
        std::string(fj::max_key_name_bytes, 'n'), ~0ULL, ~0ULL,
        std::string(fj::max_key_name_bytes, 'a'), INT64_MAX};
    const auto max_text = format_key(max_key, secret).value();
    CHECK(max_text.size() <= fj::max_idempotency_key_bytes);
    CHECK(parse_key(max_text, secret).value() == max_key);
    CHECK_FALSE(format_key({"", 1, 1, "a", 1}, secret));
}

TEST_CASE("a key runs once and resends get its outcome", "[unique]")
{
    auto issuer = make_issuer("n");
    const auto key = issue_key(issuer);
    CHECK(begin(issuer, key, start).verdict == begin_verdict::run);
    CHECK(begin(issuer, key, start).verdict == begin_verdict::in_progress);
    issuer.finish(key, answered("done"), at(10));
    const auto resend = begin(issuer, key, at(20));
    REQUIRE(resend.verdict == begin_verdict::answered);
    CHECK(resend.answer->body == "done");
}

TEST_CASE("refusals carry their reason and the right outcome", "[unique]")
{
    auto issuer = make_issuer("n");
    const auto key = issue_key(issuer);
    CHECK(begin(issuer, key, start).verdict == begin_verdict::run);
    const auto check = [&](fj::begin_decision decision, outcome expected,
                           refusal_reason reason) {
        REQUIRE(decision.verdict == begin_verdict::refused);
        CHECK(decision.refusal_details.outcome == expected);
        CHECK(to_string(decision.refusal_details.reason) == to_string(reason));
    };
    check(
        begin(issuer, "x", start), outcome::not_run,
        refusal_reason::bad_idempotency_key);
    check(
        issuer.begin(key, "other", "book", "digest", start), outcome::not_run,
        refusal_reason::idempotency_key_reused);
    check(
        issuer.begin(key, "acct", "book", "other", start), outcome::not_run,
        refusal_reason::idempotency_key_reused);
    check(
        issuer.begin(key, "acct", "other", "digest", start), outcome::not_run,
        refusal_reason::idempotency_key_reused);
    issuer.finish(key, {}, at(1));
    check(
        begin(issuer, key, at(2)), outcome::unknown,
        refusal_reason::backend_failed);
    const auto large = issue_key(issuer);
    begin(issuer, large, at(3));
    issuer.finish(large, answered(std::string(65 * 1024, 'x')), at(4));
    check(
        begin(issuer, large, at(5)), outcome::answered,
        refusal_reason::answer_not_kept);
    CHECK(issuer.kept_bytes() == 0);
}

TEST_CASE(
    "an outcome not run from downstream makes the key unused again", "[unique]")
{
    auto issuer = make_issuer("n");
    const auto key = issue_key(issuer);
    for (int i = 0; i != 3; ++i) {
        CHECK(begin(issuer, key, at(i)).verdict == begin_verdict::run);
        issuer.finish(
            key, {outcome::not_run, refusal_reason::overloaded, {}}, at(i));
    }
    CHECK(issuer.entries() == 0);
}

TEST_CASE(
    "an expired key is reported as not run only if it never started",
    "[unique]")
{
    auto issuer = make_issuer("n");
    const auto unused = issue_key(issuer);
    const auto used = issue_key(issuer);
    const auto returned = issue_key(issuer);
    begin(issuer, used, start);
    begin(issuer, returned, start);
    issuer.finish(used, answered("x"), at(1));
    issuer.finish(
        returned, {outcome::not_run, refusal_reason::overloaded, {}}, at(1));
    CHECK(begin(issuer, unused, at(9'999)).verdict == begin_verdict::run);
    issuer.finish(
        unused, {outcome::not_run, refusal_reason::overloaded, {}}, at(9'999));
    issuer.expire(at(10'000));
    CHECK(issuer.entries() == 0);
    CHECK(
        begin(issuer, unused, at(10'000)).refusal_details.outcome ==
        outcome::not_run);
    CHECK(
        begin(issuer, returned, at(10'000)).refusal_details.outcome ==
        outcome::not_run);
    CHECK(
        begin(issuer, used, at(10'000)).refusal_details.outcome ==
        outcome::unknown);
}

TEST_CASE("a run that outlasts its key keeps its entry", "[unique]")
{
    auto issuer = make_issuer("n");
    const auto key = issue_key(issuer);
    begin(issuer, key, start);
    issuer.expire(at(20'000));
    CHECK(begin(issuer, key, at(20'000)).verdict == begin_verdict::in_progress);
}

TEST_CASE("memory is bounded for each account", "[unique]")
{
    auto settings = small_settings();
    settings.max_open_keys_per_account = 3;
    settings.max_kept_bytes_per_account = 10;
    auto issuer = make_issuer("n", 1, settings);
    CHECK_FALSE(issuer.issue("acct", 0, start));
    CHECK_FALSE(issuer.issue("acct", 5000, start));
    const auto keys = issuer.issue("acct", 3, start).value();
    CHECK(std::set<std::string>(keys.begin(), keys.end()).size() == 3);
    CHECK(
        issuer.issue("acct", 1, start).error().code ==
        fj::errc::budget_exhausted);
    CHECK(issuer.issue("other", 1, start));
    for (const auto& key : keys) {
        begin(issuer, key, start);
        issuer.finish(key, answered("six by"), start);
    }
    CHECK(issuer.kept_bytes() == 6);
    CHECK(issuer.issue("acct", 3, at(10'000)));
    issuer.expire(at(10'000));
    CHECK(issuer.kept_bytes() == 0);
}

TEST_CASE("another node or incarnation never runs a key", "[unique]")
{
    auto issuer = make_issuer("n", 1);
    auto restarted = make_issuer("n", 2);
    auto other = make_issuer("m", 1);
    const auto key = issue_key(issuer);
    for (auto* node : {&restarted, &other}) {
        const auto decision = begin(*node, key, start);
        CHECK(decision.verdict == begin_verdict::forward);
        CHECK(decision.issuer == "n");
        CHECK(decision.incarnation == 1);
    }
}

TEST_CASE("a successor answers as the issuer would have", "[unique]")
{
    auto old_node = make_issuer("old");
    auto next = make_issuer("new");
    const auto unused = issue_key(old_node);
    const auto done = issue_key(old_node);
    const auto running = issue_key(old_node);
    begin(old_node, done, start);
    begin(old_node, running, start);
    old_node.finish(done, answered("body \xff\n"), start);
    old_node.begin_stop(at(10));
    CHECK_FALSE(old_node.issue("acct", 1, at(10)));
    CHECK(
        begin(old_node, unused, at(10)).refusal_details.outcome ==
        outcome::not_run);
    CHECK(begin(old_node, done, at(10)).verdict == begin_verdict::answered);
    REQUIRE(hand_over(old_node, "old", next, "new", at(20)));
    CHECK(old_node.state() == fj::handover_state::done);
    CHECK(begin(old_node, done, at(30)).issuer == "new");
    CHECK(begin(next, done, at(30)).answer->body == "body \xff\n");
    CHECK(
        begin(next, running, at(30)).refusal_details.outcome ==
        outcome::unknown);
    CHECK(begin(next, unused, at(30)).verdict == begin_verdict::run);
    CHECK(begin(next, unused, at(30)).verdict == begin_verdict::in_progress);
    // After expiry no key is started and none is reported as not run.
    next.expire(at(30'000));
    CHECK(
        begin(next, done, at(30'000)).refusal_details.outcome ==
        outcome::unknown);
    // After four key lifetimes the table is dropped, and no node answers for
    // the key.
    next.expire(at(60'000));
    CHECK(begin(next, done, at(60'000)).verdict == begin_verdict::forward);
}

TEST_CASE("a key that expired before the handover stays expired", "[unique]")
{
    auto old_node = make_issuer("old");
    auto next = make_issuer("new");
    const auto key = issue_key(old_node);
    begin(old_node, key, start);
    old_node.finish(key, answered("x"), start);
    old_node.expire(at(10'001));
    REQUIRE(hand_over(old_node, "old", next, "new", at(10'001)));
    CHECK(
        begin(next, key, at(10'001)).refusal_details.outcome ==
        outcome::unknown);
}

TEST_CASE("a table is used only when complete and named by the row", "[unique]")
{
    auto old_node = make_issuer("old");
    auto first = make_issuer("first");
    auto second = make_issuer("second");
    const auto key = issue_key(old_node);
    old_node.begin_stop(start);
    REQUIRE(old_node.freeze("first", 1, start));
    const auto piece = old_node.pieces(1).at(0).message;
    REQUIRE(first.adopt_piece("old", piece, start));
    // The table is staged but no row names a successor: outcome unknown.
    CHECK(begin(first, key, start).refusal_details.outcome == outcome::unknown);
    CHECK(
        begin(old_node, key, start).refusal_details.outcome ==
        outcome::unknown);
    CHECK_FALSE(old_node.write_handover());
    REQUIRE(old_node.freeze("second", 1, at(5)));
    const auto second_piece = old_node.pieces(1).at(0).message;
    const auto receipt = second.adopt_piece("old", second_piece, at(5)).value();
    old_node.confirm("first", receipt);
    CHECK_FALSE(old_node.write_handover());
    old_node.confirm("second", receipt);
    const auto change = old_node.write_handover();
    REQUIRE(change);
    CHECK(change->conditions.at(0).expected == 0);
    // The row may have been written with `second`, so the successor is final.
    CHECK_FALSE(old_node.freeze("first", 1, at(6)));
    const auto row = fj::parse_handover_row(*change->writes[0].value).value();
    for (auto* node : {&first, &second})
        node->apply_handover_row(row, at(7));
    CHECK(begin(first, key, at(7)).refusal_details.outcome == outcome::unknown);
    CHECK(begin(second, key, at(7)).verdict == begin_verdict::run);
    // A restarted successor has lost the table.
    auto restarted = make_issuer("second", 2);
    restarted.apply_handover_row(row, at(7));
    CHECK(begin(restarted, key, at(7)).verdict == begin_verdict::forward);
}

TEST_CASE("a large table is handed over in bounded pieces", "[unique]")
{
    auto settings = small_settings();
    settings.max_kept_bytes_per_account = 4 * 1024 * 1024;
    auto old_node = make_issuer("old", 1, settings);
    const auto keys = old_node.issue("acct", 50, start).value();
    for (const auto& key : keys) {
        begin(old_node, key, start);
        old_node.finish(key, answered(std::string(64 * 1024, 'y')), start);
    }
    old_node.begin_stop(start);
    old_node.freeze("new", 1, start);
    const auto pieces = old_node.pieces(1000);
    CHECK(pieces.size() > 1);
    for (const auto& piece : pieces)
        CHECK(to_text(piece.message).size() <= fj::max_handover_piece_bytes);
    // Pieces may arrive twice and in any order.
    auto next = make_issuer("new", 1, settings);
    for (auto it = pieces.rbegin(); it != pieces.rend(); ++it) {
        for (int copy = 0; copy != 2; ++copy)
            CHECK(next.adopt_piece("old", it->message, at(1)));
    }
    CHECK(next.entries() == 50);
    CHECK(next.kept_bytes() == old_node.kept_bytes());
    CHECK_FALSE(next.adopt_piece("other", pieces[0].message, at(1)));
}
