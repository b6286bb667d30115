import { setImmediate as waitForNextTurn } from 'node:timers/promises';
import { waitForDelay } from '../../common/waitForDelay';

interface HedgedAttempt<Response> {
  /** Resolves to undefined when there was no response. */
  readonly response: Promise<Response | undefined>;
}

interface HedgedRequest<Response, Attempt extends HedgedAttempt<Response>> {
  readonly first: Attempt;
  readonly maxAttempts: number;
  /** Returns the time after which the response to an attempt is late, in milliseconds. */
  readonly computeLateMs: (attempt: Attempt) => number;
  /** Handles an attempt whose response is late; not called for one without a response. */
  readonly handleLate: (attempt: Attempt) => void;
  /** Starts another attempt; undefined when none is possible now. */
  readonly startNext: () => Attempt | undefined;
  /** Returns true once the response is of no use, since its leader has stopped. */
  readonly isStopped: () => boolean;
}

/** Marks, in a race with a response, that the time is up. */
const LATE = Symbol('late');

const waitForFirst = <Response>(
  attempts: readonly HedgedAttempt<Response>[],
): Promise<Response | undefined> =>
  Promise.any(
    attempts.map(async ({ response }) => (await response) ?? Promise.reject(new Error('no response'))),
  ).catch(() => undefined);

/**
 * Resolves to the first response to any attempt, and starts another one each time the latest is late or all have failed. Resolves to undefined once all
 * attempts have failed and no other can be started, or `isStopped` returns true.
 */
export const waitForHedgedResponse = async <Response, Attempt extends HedgedAttempt<Response>>({
  first,
  maxAttempts,
  computeLateMs,
  handleLate,
  startNext,
  isStopped,
}: HedgedRequest<Response, Attempt>): Promise<Response | undefined> => {
  const attempts = [first];
  for (let latest = first; ;) {
    const cancellation = new AbortController();
    const responses = waitForFirst(attempts);
    let result = await Promise.race([
      responses,
      waitForDelay(computeLateMs(latest), cancellation.signal).then(() => LATE),
    ]);
    cancellation.abort();
    if (result === LATE) {
      // After a long turn of the event loop, a response may have arrived that has not been read yet.
      await waitForNextTurn();
      result = await Promise.race([responses, Promise.resolve(LATE)]);
    }
    if (isStopped()) {
      return undefined;
    }
    if (typeof result !== 'symbol' && result !== undefined) {
      return result;
    }
    if (result === LATE) {
      handleLate(latest);
    }
    const next = attempts.length < maxAttempts ? startNext() : undefined;
    if (next === undefined) {
      return responses;
    }
    attempts.push(next);
    latest = next;
  }
};
