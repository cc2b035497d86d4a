#include "gateway/peer_messenger.h"

#include <array>
#include <string>
#include <variant>

#include "base/bounded_codec.h"

namespace samphire {

namespace {

constexpr std::array kLoanKinds = {message_kind::kLoanRequest,
                                   message_kind::kLoanResponse,
                                   message_kind::kLoanReturn};

// Returns the datagram kind in which a loan message is sent.
struct loan_message_kind {
  message_kind operator()(const loan_request& /*message*/) const {
    return message_kind::kLoanRequest;
  }
  message_kind operator()(const loan_renewal& /*message*/) const {
    return message_kind::kLoanRequest;
  }
  message_kind operator()(const loan_grant& /*message*/) const {
    return message_kind::kLoanResponse;
  }
  message_kind operator()(const loan_refusal& /*message*/) const {
    return message_kind::kLoanResponse;
  }
  message_kind operator()(const loan_return_ack& /*message*/) const {
    return message_kind::kLoanResponse;
  }
  message_kind operator()(const loan_return& /*message*/) const {
    return message_kind::kLoanReturn;
  }
};

std::string ServiceOf(const loan_message& message) {
  return std::visit([](const auto& each) { return each.service; }, message);
}

}  // namespace

peer_messenger::peer_messenger(peer_transport& transport,
                               fleet_view& fleet,
                               metrics& counters)
    : transport_(transport), fleet_(fleet), metrics_(counters) {}

void peer_messenger::RegisterHandlers(gate_set& gates) {
  for (const auto kind : kLoanKinds) {
    transport_.OnMessage(kind, [this, &gates](const peer_message& message) {
      OnLoan(gates, message);
    });
  }
}

void peer_messenger::Stop() {
  for (const auto kind : kLoanKinds)
    transport_.OnMessage(kind, nullptr);
}

void peer_messenger::OnLoan(gate_set& gates, const peer_message& message) {
  const auto loan = DecodeBinary<loan_message>(message.payload);
  const auto gate = loan ? gates.Find(ServiceOf(*loan)) : nullptr;
  if (!gate) {
    metrics_.CountRefusal(result_code::kPeerMalformed);
    return;
  }
  gate->Receive(message.sender, *loan);
}

// A message to a member that has gone is dropped; it would be lost on the way
// otherwise, and the loan protocol tolerates lost messages.
void peer_messenger::Send(const loan_outbox& messages) {
  for (const auto& each : messages) {
    const auto address = fleet_.AddressOf(each.to);
    if (address.empty())
      continue;
    metrics_.Count("loan_messages_total");
    static_cast<void>(
        transport_.Send(address, std::visit(loan_message_kind{}, each.message),
                        EncodeBinary(each.message)));
  }
}

}  // namespace samphire
