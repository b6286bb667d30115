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

/** Calls one address over kept connections, one call at a time on each. A call without an answer ends its connection. */
export class HttpCaller {
  private pool: Pool;

  constructor(private readonly options: HttpCallerOptions) {
    this.pool = this.createPool();
  }

  /** Makes a call. Never rejects. */
  async sendCall(call: HttpCall): Promise<HttpResult> {
    const limit = new AbortController();
    const timer = setTimeout(() => limit.abort(), call.timeoutMs);
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
      clearTimeout(timer);
    }
  }

  /** Drops all connections; the next call opens a new one. */
  startAnew(): void {
    const old = this.pool;
    this.pool = this.createPool();
    void old.destroy();
  }

  async stop(): Promise<void> {
    await this.pool.destroy();
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
