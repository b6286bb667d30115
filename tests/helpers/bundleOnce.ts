import { execFileSync } from 'node:child_process';

/** Bundles the programs before the tests that run processes. */
export default function startBundle(): void {
  execFileSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'inherit' });
}
