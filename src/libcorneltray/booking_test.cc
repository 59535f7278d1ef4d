#include "corneltray/booking.h"

#include <doctest/doctest.h>

#include <random>

#include "corneltray/control_state.h"

namespace corneltray {
namespace {

const BookingKey kKey{"mosque-committee", "ledger", "01938f5a-7c00-7abc-8def-0123456789ab"};

// Guards against a field that is lost or changed between the entry process, the log and a replica.
TEST_CASE("commands and replies survive encoding") {
  const std::string bytes("\x00\xff\r\n\"", 5);
  const Command commands[] = {
      ClaimBooking{kKey, "attempt", "entry-1", "hash", 123456789012},
      FinishBooking{kKey, "attempt", BookingState::kDone, {201, "a/b", bytes, true}, true},
      FinishBooking{kKey, "attempt", BookingState::kNotRun, {}, false},
      MarkBookingUnknown{kKey, "attempt"},
      RefuseBooking{kKey, "hash"},
      ApplyConfiguration{"change", 41, "operator", {"base", {{"dkr", "x = 1\n"}}}},
  };
  for (const Command& command : commands) {
    CAPTURE(command.index());
    const std::string encoded = EncodeCommand(command);
    const auto decoded = DecodeCommand(encoded);
    REQUIRE(decoded.Ok());
    CHECK(decoded.value().index() == command.index());
    CHECK(EncodeCommand(decoded.value()) == encoded);
  }
  const CommandReply replies[] = {
      BookingReply{
          BookingVerdict::kRecorded, BookingState::kDone, "a", "e", 5, 6, {200, "t", bytes, false}},
      BookingReply{BookingVerdict::kKeyExpired, BookingState::kUnknown, "", "", 0, 6, {}},
      ConfigurationReply{ConfigurationVerdict::kRevisionConflict, 7, "detail"},
  };
  for (const CommandReply& reply : replies) {
    const std::string encoded = EncodeCommandReply(reply);
    const auto decoded = DecodeCommandReply(encoded);
    REQUIRE(decoded.Ok());
    CHECK(EncodeCommandReply(decoded.value()) == encoded);
  }
}

// Guards against a crash of a control process on bytes that are no command. Seeded, so that a
// failure can be repeated.
TEST_CASE("malformed commands are refused") {
  CHECK_FALSE(DecodeCommand("").Ok());
  CHECK_FALSE(DecodeCommand("\xa0").Ok());
  CHECK_FALSE(DecodeCommandReply("\xa0").Ok());
  FinishBooking finish{kKey, "attempt", BookingState::kUnknown, {}, false};
  CHECK_FALSE(DecodeCommand(EncodeCommand(finish)).Ok());
  const std::string good = EncodeCommand(ClaimBooking{kKey, "attempt", "entry-1", "hash", 5});
  constexpr unsigned kSeed = 20261204;
  CAPTURE(kSeed);
  std::mt19937 random(kSeed);
  for (int round = 0; round < 2000; ++round) {
    std::string bad = good;
    bad.resize(random() % good.size());
    for (char& byte : bad) {
      if (random() % 16 == 0) byte = static_cast<char>(random());
    }
    const auto decoded = DecodeCommand(bad);
    if (decoded.Ok()) CHECK(decoded.value().index() < std::variant_size_v<Command>);
  }
}

TEST_CASE("the time of an idempotency key is read from UUID version 7") {
  CHECK(IdempotencyKeyTime(kKey.idempotency_key) == 0x01938f5a7c00);
  const char* const refused[] = {
      "",
      "01938f5a-7c00-4abc-8def-0123456789ab",   // version 4
      "01938f5a-7c00-7abc-cdef-0123456789ab",   // another variant
      "01938F5A-7C00-7ABC-8DEF-0123456789AB",   // not canonical
      "01938f5a7c007abc8def0123456789ab",       // no hyphens
      "01938f5a-7c00-7abc-8def-0123456789abc",  // too long
      "01938f5a-7c00-7abc-8def-0123456789ag",
  };
  for (const std::string key : refused) {
    CAPTURE(key);
    CHECK_FALSE(IdempotencyKeyTime(key).has_value());
  }
}

}  // namespace
}  // namespace corneltray
