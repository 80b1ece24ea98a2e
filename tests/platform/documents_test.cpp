#include "drivers/front/http_messages.hpp"
#include "platform/documents.hpp"
#include "servers/routing/router.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace pomelohinge::platform {
namespace {

class documents_test : public testing::Test
{
protected:
    static constexpr char const* text = R"({"version": 7,
        "services": [{"name": "s1", "healthPath": "/health", "maxConns": 360,
                "warmupS": 3.0, "warmupPerS": 23.0},
            {"name": "s2"}],
        "limits": {"idleTimeoutS": 15},
        "tenants": [{"name": "pub", "apiKeys": ["k1", "k2"], "priority": 1,
                "ratePerS": 75, "burst": 70},
            {"name": "free", "apiKeys": ["k3"]}],
        "hosts": [{"host": "Shop.Example", "paths": [
            {"name": "r1", "pathPrefix": "/a/", "kind": "non_idempotent",
                "timeoutS": 3, "aimS": 0.8, "priority": 1, "service": "s1",
                "attempts": 2, "public": false},
            {"name": "r2", "pathPrefix": "/b/", "kind": "idempotent",
                "timeoutS": 2.5, "priority": 2, "attempts": 3,
                "public": true, "trafficSplit": [
                    {"service": "s1", "weight": 90},
                    {"service": "s2", "weight": 10}]}]}]})";

    static nlohmann::json target()
    {
        return nlohmann::json::parse(R"({
            "metadata": {"name": "i-1", "rev": 42},
            "spec": {"address": "10.0.0.9:80", "born": 1700000000123,
                "info": {"service": "s1", "version": "v1", "zone": "east",
                    "slots": 6}},
            "status": {"state": "ready", "seq": 4, "warmupLeftS": 1.5}})");
    }

    static nlohmann::json rollout()
    {
        return nlohmann::json::parse(R"({
            "metadata": {"name": "shop", "rev": 42},
            "spec": {"service": "s1", "toVersion": "v2", "finishByS": 30.5},
            "status": null})");
    }

    findings found_{"document"};
    manual_clock clock_;
};

TEST_F(documents_test, target_has_its_version)
{
    auto entry = target();
    EXPECT_EQ(decode_target(entry, clock_.now(), found_)->version, "v1");
    entry["spec"]["info"].erase("version");
    EXPECT_EQ(decode_target(entry, clock_.now(), found_)->version, "");
}

TEST_F(documents_test, rollout_is_decoded)
{
    auto const it = decode_rollout(rollout(), found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->name, "shop");
    EXPECT_EQ(it->revision, 42u);
    EXPECT_EQ(it->service, service_id("s1"));
    EXPECT_EQ(it->version, "v2");
    EXPECT_EQ(it->finish_by, std::chrono::milliseconds(30'500));
    EXPECT_EQ(it->status, rollout_status::none);
}

/// The status of an earlier rollout was taken for that of the next.
TEST_F(documents_test, status_of_another_version_counts_as_none)
{
    auto entry = rollout();
    entry["status"] = {{"state", "succeeded"}, {"toVersion", "v1"}};
    EXPECT_EQ(decode_rollout(entry, found_)->status, rollout_status::none);
    entry["status"]["toVersion"] = "v2";
    EXPECT_EQ(decode_rollout(entry, found_)->status, rollout_status::succeeded);
}

TEST_F(documents_test, rollout_without_a_time_or_with_an_odd_one_is_refused)
{
    for (auto const* text : {"null", "-1", "0", "1e9", "\"30\""}) {
        auto entry = rollout();
        entry["spec"]["finishByS"] = nlohmann::json::parse(text);
        EXPECT_FALSE(decode_rollout(entry, found_)) << text;
    }
    auto entry = rollout();
    entry["status"] = {{"state", "odd"}, {"toVersion", "v2"}};
    EXPECT_FALSE(decode_rollout(entry, found_));
}

TEST_F(documents_test, downloads_may_be_repeated)
{
    std::string document = text;
    std::string const kind = "\"non_idempotent\"";
    auto const at = document.find(kind);
    ASSERT_NE(at, std::string::npos);
    document.replace(at, kind.size(), "\"download\"");
    auto const it = decode_configuration(document, found_);
    ASSERT_TRUE(it) << found_.to_text();
    auto const* const route = it->find<route_object>("shop.example/a/");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->request_idempotency, idempotency_mode::idempotent);
}

TEST_F(documents_test, configuration_is_decoded_to_routes_rates_and_keys)
{
    auto const it = decode_configuration(text, found_);
    ASSERT_TRUE(it) << found_.to_text();
    auto const* const first = it->find<route_object>("shop.example/a/");
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first->request_idempotency, idempotency_mode::non_idempotent);
    EXPECT_EQ(first->deadline, std::chrono::milliseconds(3000));
    EXPECT_EQ(first->goal, std::chrono::milliseconds(800));
    EXPECT_EQ(first->attempts, 2);
    EXPECT_EQ(first->access, route_access::keyed);
    auto const* const second = it->find<route_object>("shop.example/b/");
    ASSERT_NE(second, nullptr);
    EXPECT_EQ(second->access, route_access::open);
    ASSERT_EQ(second->split.size(), 2u);
    EXPECT_EQ(second->split[1].weight, 10);
    EXPECT_EQ(it->find<rate_object>("pub")->requests_per_second, 75);
    EXPECT_EQ(it->find<service_object>("s1")->cold_requests_per_second, 23);
    router const routes(*it);
    EXPECT_NE(routes.rate_of(organisation_id("pub")), nullptr);
    EXPECT_EQ(routes.rate_of(organisation_id("free")), nullptr);
    ASSERT_NE(routes.organisation_of(hash_key("k2")), nullptr);
    EXPECT_EQ(routes.organisation_of(hash_key("k2"))->text(), "pub");
}

TEST_F(documents_test, configuration_without_organisations_has_open_routes)
{
    auto const it = decode_configuration(
        R"({"services": [{"name": "s"}], "hosts": [{"host": "h", "paths": [
            {"pathPrefix": "/", "kind": "idempotent", "timeoutS": 1,
                "service": "s"}]}]})",
        found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->find<route_object>("h/")->access, route_access::open);
}

TEST_F(documents_test, route_of_unknown_kind_is_non_idempotent)
{
    auto const it = decode_configuration(
        R"({"services": [{"name": "s"}], "hosts": [{"host": "h", "paths": [
            {"pathPrefix": "/", "kind": "odd", "timeoutS": 1,
                "service": "s"}]}]})",
        found_);
    ASSERT_TRUE(it);
    EXPECT_EQ(it->find<route_object>("h/")->request_idempotency,
        idempotency_mode::non_idempotent);
}

TEST_F(documents_test, invalid_configuration_reports_every_place)
{
    EXPECT_FALSE(decode_configuration(
        R"({"services": [{"name": 5}], "hosts": [{"host": "h", "paths": [
            {"pathPrefix": "/", "kind": "idempotent", "service": "s"}]}]})",
        found_));
    auto const report = found_.to_text();
    EXPECT_NE(report.find("/services/0/name"), std::string::npos) << report;
    EXPECT_NE(report.find("/hosts/0/paths/0/timeoutS"), std::string::npos);
    EXPECT_FALSE(decode_configuration("{\"hosts\": [", found_));
    EXPECT_FALSE(decode_configuration("[]", found_));
}

TEST_F(documents_test, target_entry_is_decoded_to_a_record)
{
    auto const it = decode_target(target(), clock_.now(), found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->id.text(), "i-1");
    EXPECT_EQ(it->revision, 42u);
    EXPECT_EQ(it->incarnation, 1700000000123u);
    EXPECT_EQ(it->service.text(), "s1");
    EXPECT_EQ(it->data_centre.text(), "east");
    EXPECT_EQ(it->slots, 6);
    EXPECT_EQ(it->standing, target_standing::serving);
    EXPECT_EQ(it->cold_until - clock_.now(),
        duration(std::chrono::milliseconds(1500)));
}

TEST_F(documents_test, target_entry_with_an_invalid_field_is_rejected)
{
    auto const rejects = [&](char const* pointer, nlohmann::json value) {
        auto changed = target();
        changed[nlohmann::json::json_pointer(pointer)] = std::move(value);
        return !decode_target(changed, clock_.now(), found_);
    };
    EXPECT_TRUE(rejects("/spec/address", 5));
    EXPECT_TRUE(rejects("/spec/info/service", nullptr));
    EXPECT_TRUE(rejects("/spec/info", "text"));
    EXPECT_TRUE(rejects("/spec/info/slots", "six"));
    EXPECT_TRUE(rejects("/spec/born", "yesterday"));
    EXPECT_TRUE(rejects("/status/state", "resting"));
    EXPECT_TRUE(rejects("/status/warmupLeftS", "long"));
    EXPECT_TRUE(rejects("/metadata", 1));
    EXPECT_FALSE(decode_target("text", clock_.now(), found_));
    EXPECT_FALSE(decode_target(nullptr, clock_.now(), found_));
}

TEST_F(documents_test, vm_entry_encoded_and_decoded_is_equal)
{
    vm_record vm;
    vm.vm = vm_id("vm-1");
    vm.data_centre = data_centre_id("east");
    vm.peers_address = "10.0.0.1:1";
    vm.callers_address = "10.0.0.1:2";
    vm.cores = 0.2;
    vm.link_mbps = 100;
    nlohmann::json const object{
        {"metadata", {{"name", "vm-1"}}}, {"spec", encode_vm(vm)}};
    EXPECT_EQ(decode_vm(object, found_), vm);
}

TEST_F(documents_test, record_encoded_and_decoded_is_equal)
{
    idempotency_record record;
    record.request_fingerprint = 0xfedcba9876543210u;
    record.writer = 0xfedcba9876543211u;
    record.state = record_state::done;
    record.ends_at_ms = 17;
    record.answer = {201, "text/plain", std::string("a\0b", 3)};
    nlohmann::json const object{
        {"metadata", {{"rev", 9}}}, {"spec", encode_record(record)}};
    auto const it = decode_record(object, found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->request_fingerprint, record.request_fingerprint);
    EXPECT_EQ(it->writer, record.writer);
    EXPECT_EQ(it->state, record.state);
    EXPECT_EQ(it->answer.body, record.answer.body);
    EXPECT_EQ(it->version, 9u);
}

/// Guards against an exception that ends the process when a target's header is
/// encoded as JSON.
TEST_F(documents_test, record_with_content_type_that_is_not_utf8_is_read_back)
{
    idempotency_record record;
    record.answer = {201, "text/plain; charset=\xff\x80\xc3\xa9", "a"};
    nlohmann::json const object{
        {"metadata", {{"rev", 9}}}, {"spec", encode_record(record)}};
    auto const it = decode_record(nlohmann::json::parse(object.dump()), found_);
    ASSERT_TRUE(it) << found_.to_text();
    EXPECT_EQ(it->answer.content_type, record.answer.content_type);
}

} // namespace
} // namespace pomelohinge::platform
