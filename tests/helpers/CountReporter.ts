import { existsSync, readFileSync } from 'node:fs';
import type { Reporter, TestCase, TestModule } from 'vitest/node';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const FIELD_SEPARATOR = ' | ';

/** Names of the tests that are listed as failing for a known fault: the first field of each line. */
const readKnownRed = (): ReadonlySet<string> => {
  const text = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '';
  const names = text.split('\n').map((line) => line.split(FIELD_SEPARATOR)[0]!.trim());
  return new Set(names.filter((name) => name !== ''));
};

/** Prints the closing line `N passed, N failed` that CI reads, and passes over the tests that are listed as known to fail. */
export default class CountReporter implements Reporter {
  private passed = 0;
  private readonly failed: string[] = [];

  onTestCaseResult(test: TestCase): void {
    const { state } = test.result();
    if (state === 'passed') {
      this.passed += 1;
    } else if (state === 'failed') {
      this.failed.push(test.fullName);
    }
  }

  onTestRunEnd(modules: readonly TestModule[], unhandled: readonly unknown[]): void {
    const broken = modules.filter((module) => module.errors().length > 0).length;
    const known = readKnownRed();
    const knownFailed = this.failed.filter((name) => known.has(name));
    const isOnlyKnown = broken === 0 && unhandled.length === 0 && knownFailed.length === this.failed.length;
    process.on('exit', () => {
      knownFailed.forEach((name) => process.stdout.write(`Known to fail: ${name}\n`));
      process.stdout.write(`${this.passed} passed, ${this.failed.length + broken} failed\n`);
      if (isOnlyKnown && this.failed.length > 0) {
        process.exitCode = 0;
      }
    });
  }
}
