#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

// Runs all registered suites, or only the suite or test that the first argument
// names.
int main(int aCount, char** aValues) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, aCount > 1 ? aValues[1] : "");

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  return collector.wasSuccessful() ? 0 : 1;
}
