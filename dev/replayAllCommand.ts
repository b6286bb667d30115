import { readFileSync, writeFileSync } from 'node:fs';
import type { Command } from '../packages/cli/Command';
import { exitCodes } from '../packages/cli/exitCodes';
import { writeLine } from '../packages/cli/writeLine';
import { formatReplay } from '../packages/replay/formatReplay';
import { readTrace } from '../packages/replay/readTrace';
import { measureReplay } from '../packages/replay/measureReplay';
import { createTrace } from './traces/createTrace';
import { toOutcomeFile } from './traces/toOutcomeFile';
import { traceShapes } from './traces/traceShapes';

const readStated = (file: string): string | undefined => {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return undefined;
  }
};

/** `dev replay-all`: all generated traces against their stated outcomes. */
export const replayAllCommand: Command = {
  name: 'replay-all',
  summary: 'Replay all generated traces and compare with the outcomes stated in traces/.',
  usage: '[--write]',
  options: { write: { type: 'boolean', help: 'state the outcomes anew' } },
  run: async ({ values }) => {
    let differing = 0;
    for (const shape of traceShapes) {
      const result = measureReplay(createTrace(shape), 'stairline');
      const file = toOutcomeFile(shape.name);
      const text = `${JSON.stringify({ about: shape.about, ...result }, null, 2)}\n`;
      if (values['write'] === true) {
        writeFileSync(file, text);
      }
      const isSame = readStated(file) === text;
      differing += isSame ? 0 : 1;
      writeLine(
        `\n${shape.name}: ${shape.about}\n${formatReplay(result)}\n${isSame ? 'as stated' : 'DIFFERS from what is stated'}`,
      );
    }
    const recorded = readTrace('traces/recorded-entry.jsonl');
    if (recorded.ok) {
      const result = measureReplay(recorded.value, 'stairline');
      const text = `${JSON.stringify(result, null, 2)}\n`;
      if (values['write'] === true) {
        writeFileSync(toOutcomeFile('recorded-entry'), text);
      }
      const isSame =
        readStated(toOutcomeFile('recorded-entry')) === text &&
        result.digest === recorded.value.recordedDigest;
      differing += isSame ? 0 : 1;
      writeLine(
        `\nrecorded-entry: six seconds of an entry process under the demo's load\n${formatReplay(result)}\n${isSame ? 'as stated, and as the process decided' : 'DIFFERS'}`,
      );
    }
    return differing === 0 ? exitCodes.done : exitCodes.failed;
  },
};
