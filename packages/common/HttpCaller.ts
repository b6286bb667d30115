import { buildConnector, Pool } from 'undici';
import { ConnectionGoneError } from './ConnectionGoneError';
import { HttpExchange } from './HttpExchange';
import type { HttpResult } from './HttpResult';
import { parseJson } from './parseJson';

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
  /** Longest silence: until the answer begins, and between its pieces. A long answer on a slow link takes its time. */
  readonly timeoutMs: number;
  /**
   * True for a call that means the process which answered last: it goes over a connection that is open already, or is not sent and ends as
   * `refused`. Only for a caller with one connection.
   */
  readonly isContinued?: boolean;
}

const KEEP_ALIVE_MS = 60_000;
const CONNECT_TIMEOUT_MS = 1500;
const startSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/**
 * Calls one address over kept connections, one call at a time on each. A call without an answer ends its connection, and the idle
 * ones with it: kept connections go silent together, and each would cost a call its time limit.
 * Calls beyond the number of connections wait their turn, and their time limit counts from then: a call that was never sent
 * must not count as unanswered.
 */
export class HttpCaller {
  /**
   * Made with the first call: a leader has three callers for each endpoint, and of a thousand endpoints most need one of them hardly ever.
   */
  private pool: Pool | undefined;
  private isStopped = false;
  private underWay = 0;
  private readonly waiting: (() => void)[] = [];
  /** The call under way must not open a connection. */
  private isContinuing = false;

  constructor(private readonly options: HttpCallerOptions) {}

  /** Makes a call. Never rejects. */
  async sendCall(call: HttpCall): Promise<HttpResult> {
    await this.startTurn();
    this.isContinuing = call.isContinued === true;
    try {
      return await this.sendNow(call);
    } finally {
      this.isContinuing = false;
      this.stopTurn();
    }
  }

  /** Posts a value as JSON; gives what a 200 answers, or undefined for any other end. Never rejects. */
  async sendJson(path: string, value: object, timeoutMs: number): Promise<unknown> {
    const headers = { 'content-type': 'application/json' };
    const body = JSON.stringify(value);
    const result = await this.sendCall({ method: 'POST', path, headers, body, timeoutMs });
    const isGood = result.kind === 'answered' && result.status === 200;
    return isGood ? (parseJson(result.body.toString('utf8')) ?? {}) : undefined;
  }

  /** Makes later calls over new connections; calls under way keep theirs. */
  renewConnections(): void {
    const { pool } = this;
    if (this.isStopped || pool === undefined) {
      return;
    }
    this.pool = undefined;
    // Resolves once the calls under way have ended, each by its own limit. Nobody waits for it.
    void pool.close();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    // A caller that was never used gets a pool all the same, so that later calls find a closed one.
    await this.readPool().destroy();
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

  private sendNow(call: HttpCall): Promise<HttpResult> {
    const pool = this.readPool();
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

  private readPool(): Pool {
    this.pool ??= this.createPool();
    return this.pool;
  }

  private createPool(): Pool {
    return new Pool(`http://${this.options.address}`, {
      connections: this.options.connections,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (options, callback) => {
        if (this.isContinuing) {
          callback(new ConnectionGoneError(), null);
        } else {
          startSocket(options, callback);
        }
      },
    });
  }
}
