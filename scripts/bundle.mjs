// Bundles the product (dist/stairline.cjs) and the development tools (dist/dev.cjs) into one file each.
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

const folder = process.argv[2] ?? 'dist';
await build({ ...shared, entryPoints: ['app/main.ts'], outfile: `${folder}/stairline.cjs` });
if (folder === 'dist') {
  await build({ ...shared, entryPoints: ['dev/main.ts'], outfile: 'dist/dev.cjs' });
}
