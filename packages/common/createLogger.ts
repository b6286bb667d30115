import { createConsola, type ConsolaReporter } from 'consola';
import type { Logger } from './Logger';

interface LoggerOptions {
  /** Name of the component, for example `gateway`. */
  readonly part: string;
  readonly box: string;
  /** Output format: `text` for people, `json` for log collectors. */
  readonly form: 'text' | 'json';
}

const createReporter = (options: LoggerOptions): ConsolaReporter => ({
  log: (entry) => {
    const [message, fields] = entry.args as [string, Record<string, unknown> | undefined];
    const time = entry.date.toISOString();
    if (options.form === 'json') {
      const line = {
        time,
        level: entry.type,
        box: options.box,
        part: entry.tag,
        message,
        ...fields,
      };
      process.stderr.write(`${JSON.stringify(line)}\n`);
      return;
    }
    const suffix = fields === undefined ? '' : ` ${JSON.stringify(fields)}`;
    process.stderr.write(`${time} ${entry.type} ${options.box} [${entry.tag}] ${message}${suffix}\n`);
  },
});

/** Creates the logger of one component, which writes to standard error. */
export const createLogger = (options: LoggerOptions): Logger =>
  createConsola({ level: 4, reporters: [createReporter(options)] }).withTag(options.part);
