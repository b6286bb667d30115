import { Pool } from 'undici';
import { toErrorText } from './toErrorText';

interface HttpCallerOptions {
  /** Host and port. */
  readonly address: string;
  /** Most connections at a time. */
  readonly connections: number;
}

interface HttpCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly timeoutMs: number;
}

/** An answer, or how the call failed: `refused` means that no connection was made and nothing was sent. */
type HttpResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: Buffer }
  | { readonly kind: 'refused' | 'unanswered'; readonly detail: string };

const KEEP_ALIVE_MS = 60_000;
const CONNECT_TIMEOUT_MS = 1500;
const NOT_CONNECTED_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const readErrorCode = (thrown: unknown): string => {
  const code = thrown instanceof Error ? (thrown as NodeJS.ErrnoException).code : undefined;
  return code ?? '';
};

/** A time limit that fires later than this was held up in this process: the answer may be waiting to be read. */
const HELD_UP_MS = 20;

/** Calls back after a time, and gives the process as long again whenever it was itself held up. */
const startTimer = (ms: number, handleEnd: () => void): (() => void) => {
  let timer: NodeJS.Timeout;
  const startOnce = (waitMs: number): void => {
    const dueAt = performance.now() + waitMs;
    timer = setTimeout(() => {
      const heldUpMs = performance.now() - dueAt;
      if (heldUpMs > HELD_UP_MS) {
        startOnce(Math.min(ms, heldUpMs));
      } else {
        handleEnd();
      }
    }, waitMs);
  };
  startOnce(ms);
  return () => clearTimeout(timer);
};

/**
 * Calls one address over kept connections, one call at a time on each. A call without an answer ends its connection.
 * Calls beyond the number of connections wait their turn, and their time limit counts from then: a call that was never sent
 * must not count as unanswered.
 */
export class HttpCaller {
  private readonly pool: Pool;
  private underWay = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly options: HttpCallerOptions) {
    this.pool = this.createPool();
  }

  /** Makes a call. Never rejects. */
  async sendCall(call: HttpCall): Promise<HttpResult> {
    await this.startTurn();
    try {
      return await this.sendNow(call);
    } finally {
      this.stopTurn();
    }
  }

  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  private startTurn(): Promise<void> {
    if (this.underWay < this.options.connections) {
      this.underWay += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.waiting.push(resolve));
  }

  private stopTurn(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.underWay -= 1;
    } else {
      next();
    }
  }

  private async sendNow(call: HttpCall): Promise<HttpResult> {
    const limit = new AbortController();
    const stopTimer = startTimer(call.timeoutMs, () => limit.abort());
    try {
      const response = await this.pool.request({
        method: call.method,
        path: call.path,
        headers: call.headers ?? {},
        body: call.body ?? null,
        signal: limit.signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      return { kind: 'answered', status: response.statusCode, body };
    } catch (thrown) {
      const isRefused = NOT_CONNECTED_CODES.has(readErrorCode(thrown));
      const detail = limit.signal.aborted
        ? `no answer in ${Math.round(call.timeoutMs)} ms`
        : toErrorText(thrown);
      return { kind: isRefused ? 'refused' : 'unanswered', detail };
    } finally {
      stopTimer();
    }
  }

  private createPool(): Pool {
    return new Pool(`http://${this.options.address}`, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }
}
