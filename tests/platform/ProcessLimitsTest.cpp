#include "platform/ProcessLimits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace bramleypath::platform {

namespace {

constexpr std::size_t kMiB = std::size_t{1024} * 1024;
constexpr std::size_t kLegalBodyBytes = 262144;

NodeSettings Of(std::size_t aMemoryMb, std::size_t aDescriptors) {
  NodeSettings settings;
  settings.memoryMb = aMemoryMb;
  settings.fileDescriptors = aDescriptors;
  return settings;
}

}  // namespace

// Guards against limits that ordinary clients reach, and against bounds that
// together pass what a process may use.
class ProcessLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessLimitsTest);
  CPPUNIT_TEST(testOrdinaryClientsStayBelow);
  CPPUNIT_TEST(testBoundsAddUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void testOrdinaryClientsStayBelow() {
    constexpr std::size_t kFrontClients = 2000;
    constexpr std::size_t kWorkers = 1600;
    constexpr std::size_t kConfigurationBytes = 4 * kMiB;
    for (const NodeSettings& one : {NodeSettings(), Of(384, 4096)}) {
      CPPUNIT_ASSERT(FrontendLimits(one).maxConnections >= kFrontClients);
      CPPUNIT_ASSERT(FrontendLimits(one).maxBodyBytes >= kLegalBodyBytes);
      const net::HttpLimits control = ControlLimits(one);
      CPPUNIT_ASSERT(control.maxConnections >= kWorkers);
      CPPUNIT_ASSERT(control.maxBodyBytes >= kConfigurationBytes);
      // The shortest value of a list takes two bytes.
      CPPUNIT_ASSERT(control.maxBodyValues >= kLegalBodyBytes / 2);
      CPPUNIT_ASSERT(ControlByteBounds(one).maxHeld >=
                     net::ChargeOf(kConfigurationBytes, 0));
    }
  }

  void testBoundsAddUp() {
    // Each small listener, and the connections that are accepted in one turn.
    constexpr std::size_t kSmallListeners = 2;
    constexpr std::size_t kPerTurn = 64;
    for (const std::size_t descriptors : {400, 4096}) {
      const NodeSettings settings = Of(160, descriptors);
      CPPUNIT_ASSERT(FrontendLimits(settings).maxConnections + kPerTurn +
                         kSmallListeners *
                             ProbeLimits(settings).maxConnections <
                     descriptors);
    }
    for (const std::size_t memoryMb : {64, 160, 384}) {
      const NodeSettings settings = Of(memoryMb, 4096);
      const net::ByteBounds front = FrontByteBounds(settings);
      // Three quarters of the memory, less 14 MB of the process itself.
      const std::size_t usable = memoryMb * kMiB * 3 / 4 - 14 * kMiB;
      CPPUNIT_ASSERT(front.maxHeld + front.maxHandled <= usable);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessLimitsTest);

}  // namespace bramleypath::platform
