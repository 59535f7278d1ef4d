#include "peer_session.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "peer_replies.h"

namespace corneltray {
namespace {

constexpr char kKey[] = "shared key of the region";

PeerHello HelloOf(const std::string& host) {
  return {{host, "corneltray-entry", "dkr", "dkr-a", 7}, "127.0.0.1:1", false};
}

// Two ends of one link that exchange their frames directly.
struct Pair {
  PeerSession opener;
  PeerSession acceptor;

  explicit Pair(const std::string& acceptor_key = kKey)
      : opener(HelloOf("a"), kKey, true, "nonce of the opener"),
        acceptor(HelloOf("b"), acceptor_key, false, "nonce of the acceptor") {}

  void Establish() {
    const SessionInput to_opener = opener.Receive(acceptor.HelloFrame());
    const SessionInput to_acceptor = acceptor.Receive(opener.HelloFrame());
    REQUIRE(to_opener.event == SessionEvent::kHello);
    REQUIRE(to_acceptor.event == SessionEvent::kHello);
    REQUIRE(opener.Receive(to_acceptor.reply).event == SessionEvent::kEstablished);
    REQUIRE(acceptor.Receive(to_opener.reply).event == SessionEvent::kEstablished);
  }
};

std::string Gossip(int number) {
  return EncodePeerMessage({MessageType::kGossip, 3, 0, {{"number", number}}});
}

TEST_CASE("a link is authenticated by both sides") {
  Pair pair;
  pair.Establish();
  CHECK(pair.opener.Peer().identity.host == "b");
  CHECK(pair.acceptor.Peer().identity.availability_zone == "dkr-a");

  const std::string frame = pair.opener.Seal(Gossip(5));
  const SessionInput input = pair.acceptor.Receive(frame);
  REQUIRE(input.event == SessionEvent::kMessage);
  CHECK(input.message.id == 3);
  CHECK(input.message.body["number"] == 5);

  // Guards against a frame that is recorded on the network and sent again.
  SUBCASE("and a repeated frame is dropped") {
    CHECK(pair.acceptor.Receive(frame).event == SessionEvent::kReplayed);
    CHECK(pair.acceptor.Receive(pair.opener.Seal(Gossip(6))).event == SessionEvent::kMessage);
  }
  SUBCASE("and a frame is not accepted in the other direction") {
    CHECK(pair.opener.Receive(frame).event == SessionEvent::kUnauthenticated);
  }
  SUBCASE("and a frame of another link between the same hosts is not accepted") {
    Pair other;
    PeerSession later(HelloOf("b"), kKey, false, "another nonce");
    const SessionInput hello = later.Receive(other.opener.HelloFrame());
    REQUIRE(hello.event == SessionEvent::kHello);
    CHECK(later.Receive(frame).event == SessionEvent::kUnauthenticated);
  }
  // Guards against a changed byte anywhere in a frame.
  SUBCASE("and every flipped byte is noticed") {
    const std::string good = pair.opener.Seal(Gossip(7));
    for (std::size_t at = 0; at < good.size(); ++at) {
      std::string bad = good;
      bad[at] = static_cast<char>(bad[at] ^ 0x20);
      CAPTURE(at);
      CHECK(pair.acceptor.Receive(bad).event == SessionEvent::kUnauthenticated);
    }
    CHECK(pair.acceptor.Receive(good).event == SessionEvent::kMessage);
  }
  SUBCASE("and bytes that are no message are dropped without losing the link") {
    CHECK(pair.acceptor.Receive("short").event == SessionEvent::kMalformed);
    CHECK(pair.acceptor.Receive(pair.opener.Seal("\xff\xff")).event == SessionEvent::kMalformed);
    std::string newer;
    nlohmann::json::to_cbor({{"type", "type_of_a_newer_version"}, {"id", 7}}, newer);
    const SessionInput input = pair.acceptor.Receive(pair.opener.Seal(newer));
    CHECK(input.event == SessionEvent::kMessage);
    CHECK(input.message.type == MessageType::kUnknown);
    CHECK(input.message.id == 7);
    CHECK(pair.acceptor.Receive(pair.opener.Seal(Gossip(8))).event == SessionEvent::kMessage);
  }
}

// Guards against a process that refuses the links of all older or all newer builds.
TEST_CASE("the hello of another build is accepted") {
  nlohmann::json body = {{"host", "b"},
                         {"program", "corneltray-control"},
                         {"availability_zone", "dkr-a"},
                         {"region", "dkr"},
                         {"incarnation", 7},
                         {"address", "127.0.0.1:1"},
                         {"replaces", false},
                         {"nonce", "n"}};
  PeerSession session(HelloOf("a"), kKey, true, "nonce of the opener");
  const auto receive = [&] {
    PeerMessage hello;
    hello.type = MessageType::kHello;
    hello.body = body;
    const std::string key = HmacSha256(kKey, "corneltray hello");
    return session.Receive(SealFrame(key, 0, EncodePeerMessage(hello))).event;
  };
  SUBCASE("of an older one, which tells no version of the log") {
    CHECK(receive() == SessionEvent::kHello);
    CHECK(session.Peer().identity.log_version == kUntoldLogVersion);
  }
  SUBCASE("of a newer one, which reads a later version and tells more") {
    body["log_version"] = kOwnLogVersion + 1;
    body["field_of_a_newer_version"] = {{"a", 1}};
    CHECK(receive() == SessionEvent::kHello);
    CHECK(session.Peer().identity.log_version == kOwnLogVersion + 1);
  }
}

TEST_CASE("a process without the key gets no link") {
  // Guards against commands from a process that only knows the protocol.
  SUBCASE("when it has another key") {
    Pair pair("another key");
    CHECK(pair.opener.Receive(pair.acceptor.HelloFrame()).event == SessionEvent::kUnauthenticated);
    CHECK(pair.acceptor.Receive(pair.opener.HelloFrame()).event == SessionEvent::kUnauthenticated);
  }
  SUBCASE("when it replays the hello and the proof of an earlier link") {
    Pair earlier;
    const std::string recorded_hello = earlier.opener.HelloFrame();
    const std::string recorded_proof = earlier.opener.Receive(earlier.acceptor.HelloFrame()).reply;
    PeerSession acceptor(HelloOf("b"), kKey, false, "fresh nonce");
    REQUIRE(acceptor.Receive(recorded_hello).event == SessionEvent::kHello);
    CHECK(acceptor.Receive(recorded_proof).event == SessionEvent::kUnauthenticated);
    CHECK_FALSE(acceptor.Established());
  }
  SUBCASE("when it sends a message before its proof") {
    Pair pair;
    REQUIRE(pair.acceptor.Receive(pair.opener.HelloFrame()).event == SessionEvent::kHello);
    REQUIRE(pair.opener.Receive(pair.acceptor.HelloFrame()).event == SessionEvent::kHello);
    CHECK(pair.acceptor.Receive(pair.opener.Seal(Gossip(1))).event ==
          SessionEvent::kUnauthenticated);
  }
}

// Guards against a request that runs twice because its link was replaced, and against replies that
// pile up in memory.
TEST_CASE("replies are kept for requests that are sent again") {
  ReplyCache cache;
  CHECK(cache.Begin(1, 10) == ReplyCache::Seen::kNew);
  CHECK(cache.Begin(1, 10) == ReplyCache::Seen::kInProgress);
  // Guards against a reply on the link that the requester has given up.
  CHECK(cache.Begin(1, 11) == ReplyCache::Seen::kInProgress);
  CHECK(cache.LinkOf(1) == 11);
  CHECK(cache.Answer(1, "first"));
  CHECK(cache.Begin(1, 10) == ReplyCache::Seen::kAnswered);
  CHECK_FALSE(cache.Answer(1, "second"));
  CHECK(cache.ReplyTo(1) == "first");

  SUBCASE("up to a number") {
    for (std::uint64_t id = 2; id < 2 + 2 * ReplyCache::kMaxReplies; ++id) {
      cache.Begin(id, 10);
      cache.Answer(id, "x");
    }
    CHECK(cache.Size() == ReplyCache::kMaxReplies);
    CHECK(cache.ReplyTo(1).empty());
    CHECK(cache.Begin(1, 12) == ReplyCache::Seen::kForgotten);
    CHECK(cache.Begin(1'000'000, 12) == ReplyCache::Seen::kNew);
  }
  SUBCASE("up to a size, but always the newest") {
    cache.Begin(2, 10);
    cache.Answer(2, std::string(ReplyCache::kMaxReplyBytes + 1, 'x'));
    CHECK(cache.Size() == 1);
    CHECK(cache.Begin(2, 10) == ReplyCache::Seen::kAnswered);
  }
  SUBCASE("while unanswered requests are never forgotten") {
    cache.Begin(2, 10);
    for (std::uint64_t id = 3; id < 3 + 2 * ReplyCache::kMaxReplies; ++id) {
      cache.Begin(id, 10);
      cache.Answer(id, "x");
    }
    CHECK(cache.Begin(2, 10) == ReplyCache::Seen::kInProgress);
  }
}

}  // namespace
}  // namespace corneltray
