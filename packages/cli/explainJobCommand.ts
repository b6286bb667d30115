import { readJobStory } from '../timeline/readJobStory';
import type { Command } from './Command';
import { exitCodes } from './exitCodes';
import { readLogFiles } from './readLogFiles';
import { writeError } from './writeError';
import { writeLine } from './writeLine';

const HIDDEN_FIELDS = new Set(['time', 'level', 'box', 'part', 'message', 'job']);

const formatFields = (line: object): string =>
  Object.entries(line)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');

/** `stairline explain-job`: the story of one job from the logs of all boxes. */
export const explainJobCommand: Command = {
  name: 'explain-job',
  summary:
    'Tell from the logs of all boxes what happened to a job, to its endpoints and to leadership meanwhile.',
  usage: 'JOB LOG-FILE...',
  options: {},
  start: (input) => {
    const [job, ...files] = input.positionals;
    if (job === undefined || files.length === 0) {
      writeError('Give the id of a job and at least one log file.');
      return Promise.resolve(exitCodes.usage);
    }
    const texts = readLogFiles(files);
    if (texts === undefined) {
      return Promise.resolve(exitCodes.usage);
    }
    const story = readJobStory(texts, job);
    for (const line of story) {
      writeLine(`${line.time} ${line.box} [${line.part}] ${line.message} ${formatFields(line)}`);
    }
    if (story.length === 0) {
      writeError(`No line of the logs names ${job}.`);
      return Promise.resolve(exitCodes.failed);
    }
    return Promise.resolve(exitCodes.done);
  },
};
