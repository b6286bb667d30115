import { buildConnector, Pool } from 'undici';
import { ConnectionGoneError } from './ConnectionGoneError';
import { formatError } from './formatError';
import { formatJson } from './formatJson';
import { HttpExchange } from './HttpExchange';
import type { HttpResult } from './HttpResult';
import { parseJsonResult } from './parseJsonResult';

interface HttpClientOptions {
  /** Host and port. */
  readonly address: string;
  /** Maximum number of concurrent connections. */
  readonly connections: number;
}

interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Inactivity timeout: the time allowed until the response begins, and between its chunks. */
  readonly timeoutMs: number;
  /**
   * True if the request must reach the process that responded last: it is sent over the open connection, or fails as `refused`.
   * Requires a client with one connection.
   */
  readonly mustReuseConnection?: boolean;
}

/** Largest response. A longer one counts as unanswered. */
const MAX_RESPONSE_BYTES = 33_554_432;
const KEEP_ALIVE_MS = 60_000;
/** Time by which a connection is closed before the server would close it by its own keep-alive timeout. */
const KEEP_ALIVE_MARGIN_MS = 500;
const CONNECT_TIMEOUT_MS = 1500;
const startConnection = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * HTTP client of one address with keep-alive connections and one request at a time on each.
 * A request that times out closes its connection and all idle ones: connections to one address tend to break together, and each
 * broken one would cost a request its timeout.
 * Requests beyond the number of connections are queued. Their timeout starts when they are sent.
 */
export class HttpClient {
  /** Created on first use, since many clients are never used. */
  private pool: Pool | undefined;
  private isStopped = false;
  private activeCount = 0;
  private readonly waiters: (() => void)[] = [];
  /** True while the active request must not open a connection. */
  private isReusing = false;

  constructor(private readonly options: HttpClientOptions) {}

  /** Sends a request once a connection slot is free. Never rejects. */
  async sendRequest(call: HttpRequest): Promise<HttpResult> {
    await this.waitForSlot();
    this.isReusing = call.mustReuseConnection === true;
    try {
      return await this.sendWithSlot(call);
    } catch (thrown) {
      // No request can be made of the address, the path or a header: nothing was sent.
      return { kind: 'refused', detail: formatError(thrown) };
    } finally {
      this.isReusing = false;
      this.releaseSlot();
    }
  }

  /**
   * Posts a value as JSON. Returns the body of a 200 response ({} if it is no JSON), otherwise undefined, also when the value can't be formatted.
   * Never rejects.
   */
  async sendJson(path: string, value: object, timeoutMs: number): Promise<unknown> {
    return parseJsonResult(await this.sendJsonRequest(path, value, timeoutMs));
  }

  /** Posts a value as JSON. `refused` when the value can't be formatted. Never rejects. */
  async sendJsonRequest(path: string, value: object, timeoutMs: number): Promise<HttpResult> {
    const body = formatJson(value);
    if (!body.ok) {
      return { kind: 'refused', detail: body.error };
    }
    const headers = { 'content-type': 'application/json' };
    return this.sendRequest({ method: 'POST', path, headers, body: body.value, timeoutMs });
  }

  /** Makes later requests use new connections; active requests keep theirs. */
  renewConnections(): void {
    const { pool } = this;
    if (this.isStopped || pool === undefined) {
      return;
    }
    this.pool = undefined;
    // Resolves when the active requests have ended, at the latest by their timeouts.
    void pool.close();
  }

  /** Closes all connections; active and later requests fail. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.pool?.destroy();
  }

  private waitForSlot(): Promise<void> {
    if (this.activeCount < this.options.connections) {
      this.activeCount += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => this.waiters.push(resolve));
  }

  private releaseSlot(): void {
    const next = this.waiters.shift();
    if (next === undefined) {
      this.activeCount -= 1;
    } else {
      next();
    }
  }

  private sendWithSlot(call: HttpRequest): Promise<HttpResult> {
    if (this.isStopped) {
      return Promise.resolve({ kind: 'refused', detail: 'the client has stopped' });
    }
    const pool = this.getPool();
    return new Promise((resolve) => {
      const { method, path, headers = {}, body = null } = call;
      const exchange = new HttpExchange(call.timeoutMs, (result) => {
        if (result.kind === 'unanswered' && pool === this.pool) {
          this.renewConnections();
        }
        resolve(result);
      });
      pool.dispatch({ method, path, headers, body }, exchange.createHandler());
    });
  }

  private getPool(): Pool {
    this.pool ??= this.createPool();
    return this.pool;
  }

  private createPool(): Pool {
    return new Pool(`http://${this.options.address}`, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: (options, callback) => {
        if (this.isReusing) {
          callback(new ConnectionGoneError(), null);
        } else {
          startConnection(options, callback);
        }
      },
    });
  }
}
