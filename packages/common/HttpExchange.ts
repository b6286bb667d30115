import { performance } from 'node:perf_hooks';
import type { Dispatcher } from 'undici';
import { ConnectionGoneError } from './ConnectionGoneError';
import type { HttpResult } from './HttpResult';
import { formatError } from './formatError';

/** Codes of errors after which certainly nothing was sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
  ConnectionGoneError.CODE,
]);
/** A timer that fires later than this shows that this process was blocked or paused. */
const MAX_TIMER_DELAY_MS = 20;

/** Share of the time limit for which the event loop was busy from which the limit is extended. */
const MIN_BUSY_SHARE = 0.5;

const getErrorCode = (error: Error): string => (error as NodeJS.ErrnoException).code ?? '';

/**
 * One HTTP request and its response, collected from the callbacks of undici's dispatcher.
 * Avoids the abort signal and the stream that undici's `request` creates for each request.
 */
export class HttpExchange {
  private controller: Dispatcher.DispatchController | undefined;
  private timer: NodeJS.Timeout | undefined;
  private status = 0;
  private readonly chunks: Buffer[] = [];
  private isEnded = false;
  /** Utilization of the event loop at the creation, and whether the time for which it was busy has been added to the time limit. */
  private readonly firstUtilization = performance.eventLoopUtilization();
  private isBusyTimeAdded = false;
  /** Monotonic time at which response data last arrived, or of the creation. */
  private lastReceivedAt = performance.now();

  constructor(
    /** Inactivity timeout: the time allowed until the response begins, and between its chunks. */
    private readonly timeoutMs: number,
    private readonly handleResult: (result: HttpResult) => void,
  ) {
    this.startTimer(timeoutMs);
  }

  /** Creates the handler that undici's dispatcher calls. */
  createHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.controller = controller;
        if (this.isEnded) {
          this.cancelRequest();
        }
      },
      onResponseStart: (_controller, status) => {
        this.status = status;
        this.lastReceivedAt = performance.now();
      },
      onResponseData: (_controller, chunk) => {
        this.chunks.push(chunk);
        this.lastReceivedAt = performance.now();
      },
      onResponseEnd: () =>
        this.recordResult({ kind: 'answered', status: this.status, body: Buffer.concat(this.chunks) }),
      onResponseError: (_controller, error) => {
        const kind = NOT_SENT_CODES.has(getErrorCode(error)) ? 'refused' : 'unanswered';
        this.recordResult({ kind, detail: formatError(error) });
      },
    };
  }

  /**
   * Starts the inactivity timer. Extends it if the process was blocked, and once if its event loop was mostly busy, by that time but at most by the
   * time limit again: the response may be waiting to be read.
   */
  private startTimer(waitMs: number): void {
    const dueAt = performance.now() + waitMs;
    this.timer = setTimeout(() => {
      const timerDelayMs = performance.now() - dueAt;
      if (timerDelayMs > MAX_TIMER_DELAY_MS) {
        this.startTimer(Math.min(this.timeoutMs, timerDelayMs));
        return;
      }
      const idleMs = performance.now() - this.lastReceivedAt;
      if (idleMs < this.timeoutMs) {
        this.startTimer(this.timeoutMs - idleMs);
        return;
      }
      const busyMs = performance.eventLoopUtilization(this.firstUtilization).active;
      if (!this.isBusyTimeAdded && busyMs >= this.timeoutMs * MIN_BUSY_SHARE) {
        this.isBusyTimeAdded = true;
        this.startTimer(Math.min(this.timeoutMs, busyMs));
        return;
      }
      this.recordResult({ kind: 'unanswered', detail: `no answer in ${Math.round(this.timeoutMs)} ms` });
      this.cancelRequest();
    }, waitMs);
  }

  /** Aborts the request and closes its connection. A request without a connection is aborted when it gets one, before it is sent. */
  private cancelRequest(): void {
    this.controller?.abort(new Error('The response timed out.'));
  }

  private recordResult(result: HttpResult): void {
    if (!this.isEnded) {
      this.isEnded = true;
      clearTimeout(this.timer);
      this.handleResult(result);
    }
  }
}
