import type { Logger } from './Logger';

interface DecisionLogOptions {
  readonly box: string;
  /** Takes one line with its newline. Must not block. */
  readonly writeLine: (line: string) => void;
  /** Bytes that wait to be taken by the reader of the lines. */
  readonly readBacklogBytes: () => number;
  readonly readNow: () => number;
  /** Most lines a second in the mean. */
  readonly linesPerSecond: number;
}

type Level = 'info' | 'warn' | 'error';

/** Lines of several seconds may come at once. */
const BURST_SECONDS = 4;
const MAX_BACKLOG_BYTES = 1_000_000;

/**
 * Creates a logger of one JSON object a line. Volume is bounded by a token bucket and by what its reader has not taken;
 * lines left out are counted, and the count stands in the next line as `leftOut`.
 */
export const createDecisionLog = (options: DecisionLogOptions): ((part: string) => Logger) => {
  const capacity = options.linesPerSecond * BURST_SECONDS;
  let tokens = capacity;
  let filledAt = options.readNow();
  let leftOut = 0;

  const hasRoom = (): boolean => {
    const now = options.readNow();
    tokens = Math.min(capacity, tokens + ((now - filledAt) / 1000) * options.linesPerSecond);
    filledAt = now;
    return tokens >= 1 && options.readBacklogBytes() < MAX_BACKLOG_BYTES;
  };

  const writeEntry = (
    level: Level,
    part: string,
    message: string,
    fields?: Record<string, unknown>,
  ): void => {
    // Errors are few and always worth their line.
    if (level !== 'error' && !hasRoom()) {
      leftOut += 1;
      return;
    }
    tokens -= 1;
    const entry = {
      time: new Date().toISOString(),
      level,
      box: options.box,
      part,
      message,
      ...fields,
      ...(leftOut === 0 ? {} : { leftOut }),
    };
    leftOut = 0;
    options.writeLine(`${JSON.stringify(entry)}\n`);
  };

  return (part) => ({
    info: (sentence, fields) => writeEntry('info', part, sentence, fields),
    warn: (sentence, fields) => writeEntry('warn', part, sentence, fields),
    error: (sentence, fields) => writeEntry('error', part, sentence, fields),
  });
};
