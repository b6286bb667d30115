// Writes the code cache of a program beside it. The program is run once, without arguments, so that the cache also has the functions that each
// start needs.
// usage: writeCodeCache.mjs PROGRAM
import { readFileSync, writeFileSync } from 'node:fs';
import Module, { createRequire } from 'node:module';
import { dirname, resolve } from 'node:path';
import { Script } from 'node:vm';

const file = resolve(process.argv[2]);
process.argv.splice(1, 2, file);
const script = new Script(Module.wrap(readFileSync(file, 'utf8')), { filename: file });
const module = { exports: {} };
script.runInThisContext()(module.exports, createRequire(file), module, file, dirname(file));
process.on('exit', () => {
  writeFileSync(file.replace(/\.cjs$/, '.cache'), script.createCachedData());
  process.exitCode = 0;
});
