#include "servers/idempotency/remembered_records.hpp"

#include <gtest/gtest.h>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// The records in a store that can be restored from an older copy. It answers
/// at once.
struct records_store
{
    std::uint64_t era = 1;
    std::uint64_t revision = 0;
    std::map<std::string, idempotency_record> records;
};

/// The client of one VM.
struct store_client
{
    records_store& store;

    void create(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done)
    {
        auto const [it, is_new] =
            store.records.emplace(record.idempotency_key, record);
        if (is_new)
            it->second.version = ++store.revision;
        done(is_new ? record_outcome::accepted : record_outcome::running,
            it->second);
    }

    void write(idempotency_record const& record)
    {
        auto const it = store.records.find(record.idempotency_key);
        if (it != store.records.end() && it->second.version == record.version)
            it->second = record;
    }

    void remove(idempotency_record const& record)
    {
        auto const it = store.records.find(record.idempotency_key);
        if (it != store.records.end() && it->second.version == record.version)
            store.records.erase(it);
    }

    std::uint64_t era() const { return store.era; }
};

/// Two VMs that know era 1 of the store.
///
/// Guards against a request that runs twice since the store lost its record.
class remembered_records_test : public testing::Test
{
protected:
    remembered_records_test()
    {
        first_.set_era({1, true});
        second_.set_era({1, true});
    }

    idempotency_record make_record(std::uint64_t writer) const
    {
        idempotency_record it;
        it.organisation = "o1";
        it.idempotency_key = "key";
        it.writer = writer;
        return it;
    }

    record_outcome create(
        remembered_records<store_client>& vm, std::uint64_t writer)
    {
        auto outcome = record_outcome::unavailable;
        vm.create(make_record(writer),
            [&](record_outcome it, idempotency_record found) {
                outcome = it;
                found_ = std::move(found);
            });
        return outcome;
    }

    /// Restores the store from an empty copy.
    void restore()
    {
        store_.records.clear();
        store_.revision = 0;
        ++store_.era;
    }

    manual_clock clock_;
    records_store store_;
    store_client first_client_{store_};
    store_client second_client_{store_};
    remembered_records<store_client> first_{first_client_, [this] {
                                                return clock_.now();
                                            }};
    remembered_records<store_client> second_{second_client_, [this] {
                                                 return clock_.now();
                                             }};
    idempotency_record found_;
};

TEST_F(remembered_records_test, lost_record_is_written_again_with_its_answer)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    auto done = found_;
    done.state = record_state::done;
    done.answer.status = 201;
    first_.write(done);
    restore();
    first_.set_era({2, false});
    EXPECT_EQ(create(second_, 8), record_outcome::running);
    EXPECT_EQ(found_.state, record_state::done);
    EXPECT_EQ(found_.answer.status, 201);
}

TEST_F(remembered_records_test, repeat_at_the_same_vm_does_not_run)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    restore();
    EXPECT_EQ(create(first_, 8), record_outcome::running);
    EXPECT_EQ(found_.writer, 7u);
    EXPECT_EQ(store_.records.at("key").writer, 7u);
}

TEST_F(remembered_records_test, repeat_elsewhere_is_refused_until_it_is_written)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    restore();
    EXPECT_EQ(create(second_, 8), record_outcome::unavailable);
    first_.set_era({2, false});
    EXPECT_EQ(create(second_, 8), record_outcome::running);
}

TEST_F(remembered_records_test, new_requests_run_when_the_era_has_settled)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    restore();
    second_.set_era({2, false});
    EXPECT_EQ(create(second_, 8), record_outcome::unavailable);
    EXPECT_TRUE(store_.records.empty());
    clock_.advance(2s);
    EXPECT_EQ(create(second_, 8), record_outcome::accepted);
}

TEST_F(remembered_records_test, refused_repeat_does_not_replace_the_record)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    restore();
    auto repeat = make_record(8);
    repeat.version = 1;
    store_.records["key"] = repeat;
    first_.set_era({2, false});
    EXPECT_EQ(store_.records.at("key").writer, 8u);
    second_client_.remove(repeat);
    first_.tick();
    EXPECT_EQ(store_.records.at("key").writer, 7u);
}

TEST_F(remembered_records_test, request_that_ends_in_the_new_era_is_recorded)
{
    ASSERT_EQ(create(first_, 7), record_outcome::accepted);
    auto done = found_;
    store_.revision = 100;
    restore();
    store_.revision = 50;
    first_.set_era({2, false});
    done.state = record_state::done;
    first_.write(done);
    EXPECT_EQ(store_.records.at("key").state, record_state::done);
}

TEST_F(remembered_records_test, store_without_eras_is_used_as_before)
{
    store_.era = 0;
    remembered_records<store_client> vm(
        first_client_, [this] { return clock_.now(); });
    vm.set_era({});
    ASSERT_EQ(create(vm, 7), record_outcome::accepted);
    store_.records.clear();
    EXPECT_EQ(create(vm, 8), record_outcome::accepted);
}

} // namespace
} // namespace pomelohinge
