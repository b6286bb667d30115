import { readJobLines } from '../timeline/readJobLines';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readLogFiles } from './readLogFiles';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

const HIDDEN_LINE_FIELDS = new Set(['time', 'level', 'box', 'part', 'message', 'job']);

const formatFields = (line: object): string =>
  Object.entries(line)
    .filter(([name]) => !HIDDEN_LINE_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');

/** `stairline explain-job`: prints the log lines of all boxes that explain what happened to one job. */
export const explainJobCommand: Command = {
  name: 'explain-job',
  summary:
    'Show from the logs of all boxes what happened to a job, its endpoints and the leadership during the job.',
  usage: 'JOB LOG-FILE...',
  options: {},
  run: (input) => {
    const [job, ...files] = input.positionals;
    if (job === undefined || files.length === 0) {
      writeError('Expected the id of a job and at least one log file.');
      return Promise.resolve(exitCodes.usage);
    }
    const texts = readLogFiles(files);
    if (texts === undefined) {
      return Promise.resolve(exitCodes.usage);
    }
    const events = readJobLines(texts, job);
    for (const line of events) {
      writeLine(`${line.time} ${line.box} [${line.part}] ${line.message} ${formatFields(line)}`);
    }
    if (events.length === 0) {
      writeError(`No log line mentions ${job}.`);
      return Promise.resolve(exitCodes.failed);
    }
    return Promise.resolve(exitCodes.done);
  },
};
