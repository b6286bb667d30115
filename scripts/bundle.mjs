// Bundles the product (dist/stairline.cjs, which loads dist/stairline.program.cjs with its code cache) and the development tools
// (dist/dev.cjs).
// usage: bundle.mjs [FOLDER [NODE-OPTION...]]; the options are those that the product will run with, since a code cache is valid for these only
import { execFileSync } from 'node:child_process';
import { build } from 'esbuild';

const shared = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // jsonc-parser's UMD "main" cannot be bundled; its ES module can.
  mainFields: ['module', 'main'],
  logLevel: 'warning',
};

const [folder = 'dist', ...nodeOptions] = process.argv.slice(2);
const program = `${folder}/stairline.program.cjs`;
// Names stay readable in stack traces; without blanks and comments the source is read faster.
await build({ ...shared, minifyWhitespace: true, entryPoints: ['app/main.ts'], outfile: program });
await build({ ...shared, entryPoints: ['app/loadProgram.ts'], outfile: `${folder}/stairline.cjs` });
execFileSync(process.execPath, [...nodeOptions, 'scripts/writeCodeCache.mjs', program], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
if (folder === 'dist') {
  await build({ ...shared, entryPoints: ['dev/main.ts'], outfile: 'dist/dev.cjs' });
}
