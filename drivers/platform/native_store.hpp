#ifndef POMELOHINGE_DRIVERS_PLATFORM_NATIVE_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_NATIVE_STORE_HPP

#include "drivers/platform/http_object_store.hpp"
#include "drivers/platform/journal_client.hpp"

namespace pomelohinge {

/// The project's own layout of the object service: a journal of configuration
/// changes, which also contains the targets and the states of data centres, and
/// one object per VM. See docs/PLATFORM.md.
class native_store
{
public:
    native_store(curl_loop& http, std::string address)
        : store_(http, std::move(address)), journal_(store_)
    {
    }

    // The concept `FleetStore` describes these functions.

    void read_configuration(std::function<void(configuration_result)> done);
    void list_targets(std::function<void(targets_result)> done);
    void watch_targets(std::uint64_t revision, duration wait,
        std::function<void(targets_result)> done);
    void list_closures(std::function<void(closures_result)> done);
    /// The product's own object service has no rollouts: the list is empty.
    void list_rollouts(std::function<void(rollouts_result)> done);
    void write_rollout(rollout_order const& order, rollout_status status,
        std::function<void(rollout_write_result)> done);
    void list_vms(std::function<void(vms_result)> done);
    void register_vm(
        vm_record const& vm, std::function<void(store_status)> done);
    void remove_vm(vm_id const& vm, std::function<void(store_status)> done);

private:
    /// Waits up to `wait` for new journal entries and applies them.
    void update(duration wait, std::function<void(store_status)> done);
    store_status apply(journal_reading reading);
    target_changes configured_targets() const;
    data_centre_closures configured_closures() const;
    void read_vms(watch_reply listed, std::size_t next,
        std::shared_ptr<vms_result> result,
        std::function<void(vms_result)> done);

    http_object_store store_;
    journal_client<http_object_store> journal_;
    configuration configuration_;
    /// The version of the last journal entry in `configuration_`.
    std::uint64_t version_ = 0;
    /// The store revision up to which the journal has been read.
    std::uint64_t revision_ = 0;
    /// The era of the store that `revision_` belongs to.
    std::uint64_t revision_era_ = 0;
    /// The text of `configuration_`; null until the journal has been read.
    std::shared_ptr<std::string const> configuration_text_;
    /// The version of the configuration whose targets were returned last.
    /// `watch_targets` waits only if there is no later version.
    std::uint64_t targets_version_ = 0;
};

/// Stores idempotency records as objects of the object service.
class native_records
{
public:
    native_records(curl_loop& http, std::string address)
        : store_(http, std::move(address))
    {
    }

    // The concept `RecordStore` describes these functions.

    void create(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done);
    void write(idempotency_record const& record);
    void remove(idempotency_record const& record);

    /// The latest era that the store has answered in; 0 if it does not tell.
    std::uint64_t era() const { return store_.era(); }

private:
    void find(std::string const& name,
        std::function<void(record_outcome, idempotency_record)> done);

    http_object_store store_;
};

/// Parses the text of a configuration. Errors are added to `found`; the result
/// is empty if there are any.
std::optional<configuration> decode_native_configuration(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
