// Builds dist/stairline: Node's single executable with the bundled program inside.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs';

const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

execFileSync(process.execPath, ['scripts/bundle.mjs'], { stdio: 'inherit' });
const config = {
  main: 'dist/stairline.program.cjs',
  useCodeCache: true,
  output: 'dist/stairline.blob',
  disableExperimentalSEAWarning: true,
};
writeFileSync('dist/sea.json', JSON.stringify(config));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' });
copyFileSync(process.execPath, 'dist/stairline');
chmodSync('dist/stairline', 0o755);
const injectArguments = [
  'dist/stairline',
  'NODE_SEA_BLOB',
  'dist/stairline.blob',
  '--sentinel-fuse',
  SEA_FUSE,
];
execFileSync(process.execPath, ['node_modules/postject/dist/cli.js', ...injectArguments], {
  stdio: 'inherit',
});
