import { Pool } from 'undici';
import { formatError } from '../common/formatError';
import type { Call } from '../gateway/Call';
import { headerNames } from '../gateway/headerNames';
import type { ForwardResult } from './ForwardResult';
import { parseForwardAnswer } from './parseForwardAnswer';

interface ForwardClientOptions {
  /** Host and port of the other box's peers' listener. */
  readonly address: string;
  readonly answerLimit: number;
  readonly maxConnections: number;
}

const NOT_CONNECTED = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Sends calls on to one other entry box: one hop, never two. */
export class ForwardClient {
  private readonly pool: Pool;
  private underWay = 0;

  constructor(private readonly options: ForwardClientOptions) {
    this.pool = new Pool(`http://${options.address}`, {
      connections: options.maxConnections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connectTimeout: 500,
      maxResponseSize: options.answerLimit,
    });
  }

  /** True while one more call can be sent without waiting for a connection. */
  hasRoom(): boolean {
    return this.underWay < this.options.maxConnections;
  }

  /** Sends a call on. `remainingMs` is what is left of its deadline. Never rejects. */
  async sendCall(call: Call, remainingMs: number, isLookup: boolean): Promise<ForwardResult> {
    this.underWay += 1;
    try {
      const headers: Record<string, string> = {
        ...call.forwardedHeaders,
        [headerNames.request]: call.id,
        [headerNames.hop]: '1',
        [headerNames.lookup]: isLookup ? '1' : '0',
        [headerNames.deadline]: String(Math.max(1, Math.round(remainingMs))),
        'content-type': call.forwardedHeaders['content-type'] ?? 'application/octet-stream',
      };
      if (call.team !== undefined) {
        headers[headerNames.team] = call.team;
      }
      if (call.idempotencyKey !== undefined) {
        headers[headerNames.idempotencyKey] = call.idempotencyKey;
      }
      const path = `/forward/${encodeURIComponent(call.row)}`;
      const response = await this.pool.request({ method: 'POST', path, headers, body: call.body });
      const body = Buffer.from(await response.body.arrayBuffer());
      const header = response.headers[headerNames.answer];
      const answer = parseForwardAnswer(Array.isArray(header) ? header[0] : header, body);
      return answer === undefined
        ? { kind: 'unknown', reason: `status ${response.statusCode} without an answer` }
        : { kind: 'answered', answer };
    } catch (thrown) {
      const code = (thrown as { code?: string }).code ?? '';
      const reason = formatError(thrown);
      return NOT_CONNECTED.has(code) ? { kind: 'notSent', reason } : { kind: 'unknown', reason };
    } finally {
      this.underWay -= 1;
    }
  }

  async stop(): Promise<void> {
    await this.pool.destroy();
  }
}
