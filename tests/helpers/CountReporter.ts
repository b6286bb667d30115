import type { Reporter, TestCase, TestModule } from 'vitest/node';

/** Prints the closing line `N passed, N failed` that CI reads. */
export default class CountReporter implements Reporter {
  private passed = 0;
  private failed = 0;

  onTestCaseResult(test: TestCase): void {
    const { state } = test.result();
    this.passed += state === 'passed' ? 1 : 0;
    this.failed += state === 'failed' ? 1 : 0;
  }

  onTestRunEnd(modules: readonly TestModule[]): void {
    const broken = modules.filter((module) => module.errors().length > 0).length;
    process.on('exit', () => {
      process.stdout.write(`${this.passed} passed, ${this.failed + broken} failed\n`);
    });
  }
}
