import { existsSync, readFileSync } from 'node:fs';
import Module from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';

const PROGRAM = 'stairline.program.cjs';
const CODE_CACHE = 'stairline.program.cache';

/**
 * Runs the program in the folder of this file, from the code cache that the build has written beside it. V8 ignores a cache of another version,
 * other flags or another program, and compiles the source then.
 */
const runProgram = (folder: string): void => {
  const file = join(folder, PROGRAM);
  const cacheFile = join(folder, CODE_CACHE);
  const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
  const script = new Script(Module.wrap(readFileSync(file, 'utf8')), {
    filename: file,
    ...(cachedData === undefined ? {} : { cachedData }),
  });
  const runWrapped = script.runInThisContext() as (...args: readonly unknown[]) => void;
  runWrapped(exports, require, module, file, folder);
};

runProgram(__dirname);
