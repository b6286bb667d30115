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

/** Time after which an attempt that was not possible is tried again, while others are pending. */
const RETRY_DELAY_MS = 50;
/** Marks, in a race with a response, that the time is up. */
const LATE = Symbol('late');

const waitForFirst = <Response>(
  attempts: readonly HedgedAttempt<Response>[],
): Promise<Response | undefined> =>
  Promise.any(
    attempts.map(async ({ response }) => (await response) ?? Promise.reject(new Error('no response'))),
  ).catch(() => undefined);

/**
 * Resolves to the first response to any attempt, and starts another one each time the latest is late or all have failed, as soon as one is possible.
 * Resolves to undefined once all attempts have failed and no other can be started, or `isStopped` returns true.
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
  /** The newest attempt until its response is late; undefined from then on until another is started. */
  let awaited: Attempt | undefined = first;
  for (;;) {
    const cancellation = new AbortController();
    const responses = waitForFirst(attempts);
    let result = await Promise.race([
      responses,
      waitForDelay(awaited === undefined ? RETRY_DELAY_MS : computeLateMs(awaited), cancellation.signal).then(
        () => LATE,
      ),
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
    if (result === LATE && awaited !== undefined) {
      handleLate(awaited);
    }
    const next = attempts.length < maxAttempts ? startNext() : undefined;
    const canRetry = result === LATE && attempts.length < maxAttempts;
    if (next !== undefined) {
      attempts.push(next);
    } else if (!canRetry) {
      return responses;
    }
    awaited = next;
  }
};
