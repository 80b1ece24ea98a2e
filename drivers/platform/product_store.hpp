#ifndef POMELOHINGE_DRIVERS_PLATFORM_PRODUCT_STORE_HPP
#define POMELOHINGE_DRIVERS_PLATFORM_PRODUCT_STORE_HPP

#include "drivers/platform/http_object_store.hpp"
#include "drivers/platform/platform_client.hpp"

namespace pomelohinge {

/// The product's own way of keeping things in an object service: the
/// configuration as a journal, which also names the targets and the state of
/// data centres, and one object for each VM. See docs/PLATFORM.md.
class product_store
{
public:
    product_store(curl_loop& http, std::string address)
        : store_(http, std::move(address)), journal_(store_)
    {
    }

    // See `FleetStore`.

    void read_configuration(std::function<void(configuration_result)> done);
    void list_targets(std::function<void(targets_result)> done);
    void watch_targets(std::uint64_t revision, duration wait,
        std::function<void(targets_result)> done);
    void list_closures(std::function<void(closures_result)> done);
    void list_vms(std::function<void(vms_result)> done);
    void register_vm(
        vm_record const& vm, std::function<void(store_status)> done);
    void remove_vm(vm_id const& vm, std::function<void(store_status)> done);

private:
    /// Reads entries that are not known yet and applies them.
    void follow(duration wait, std::function<void(store_status)> done);
    store_status apply(journal_reading reading);
    target_changes configured_targets() const;
    data_centre_closures configured_closures() const;
    void read_vms(watch_reply listed, std::size_t next,
        std::shared_ptr<vms_result> result,
        std::function<void(vms_result)> done);

    http_object_store store_;
    platform_client<http_object_store> journal_;
    configuration current_;
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 0;
    std::shared_ptr<std::string const> text_;
    /// Version whose targets were told last; a watch waits only while there
    /// is nothing later.
    std::uint64_t targets_told_ = 0;
};

/// Idempotency records as objects of the service.
class product_records
{
public:
    product_records(curl_loop& http, std::string address)
        : store_(http, std::move(address))
    {
    }

    // See `RecordStore`.

    void create(idempotency_record const& record,
        std::function<void(record_outcome, idempotency_record)> done);
    void write(idempotency_record const& record);
    void remove(idempotency_record const& record);

private:
    void find(std::string const& name,
        std::function<void(record_outcome, idempotency_record)> done);

    http_object_store store_;
};

/// Reads the text of a configuration.
std::optional<configuration> decode_product_configuration(
    std::string_view text, findings& found);

} // namespace pomelohinge

#endif
