import { Pool } from 'undici';
import type { z } from 'zod';
import type { ByteCounter } from '../common/ByteCounter';
import type { Clock } from '../common/Clock';
import type { HallId } from '../common/HallId';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import type { WorkerId } from '../common/WorkerId';
import type { WorkerReport } from '../ownership/WorkerReport';
import { createCountedConnector } from './createCountedConnector';
import type { BoxListing } from './BoxListing';
import type { LogPage } from './LogPage';
import type { PlatformError } from './PlatformError';
import { platformSchemas } from './platformSchemas';
import type { StreamName } from './StreamName';

interface PlatformClientOptions {
  /** Host and port. */
  readonly address: string;
  /** Longest wait for any answer, beyond a long poll's own wait, in milliseconds. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  /** Who calls, for the platform's records. */
  readonly caller: string;
  readonly counter: ByteCounter;
}

interface Call {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly headers?: Readonly<Record<string, string>>;
}

const NOT_MODIFIED = 304;
/** Most connections to the platform at once; further calls wait their turn. */
const CONNECTIONS = 8;
/** Most records in one page. */
const PAGE_LIMIT = 500;

/** Speaks the platform's published HTTP protocol: log, box list and worker reports. It never retries by itself. */
export class PlatformClient {
  private readonly pool: Pool;
  /** Tag of the box list that was read last. */
  private boxTag: string | undefined;

  constructor(private readonly options: PlatformClientOptions) {
    this.pool = new Pool(`http://${options.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: createCountedConnector(options.counter),
    });
  }

  /** Appends one record. After an error other than `refused` the record may be in the log all the same. */
  async appendRecord(stream: StreamName, record: unknown): Promise<Result<number, PlatformError>> {
    const path = `/streams/${encodeURIComponent(stream)}/records`;
    const call: Call = { method: 'POST', path, body: { value: record }, timeoutMs: this.options.timeoutMs };
    const answer = await this.send(call, platformSchemas.appended);
    return answer.ok ? { ok: true, value: answer.value.offset } : answer;
  }

  /** Reads a page from `from` on; with `waitMs` the platform waits that long for a record when there is none. */
  async readPage(stream: StreamName, from: number, waitMs: number): Promise<Result<LogPage, PlatformError>> {
    const askedAt = this.options.clock.getNow();
    const path = `/streams/${encodeURIComponent(stream)}/records?from=${from}&limit=${PAGE_LIMIT}&waitMs=${waitMs}`;
    const timeoutMs = this.options.timeoutMs + waitMs;
    const answer = await this.send({ method: 'GET', path, timeoutMs }, platformSchemas.page);
    return answer.ok ? { ok: true, value: { askedAt, ...answer.value } as LogPage } : answer;
  }

  /** Reads the list of a hall's workers; it lags. Gives undefined while it is as it was at the last read. */
  async readBoxes(hall: HallId): Promise<Result<readonly BoxListing[] | undefined, PlatformError>> {
    const path = `/boxes?hall=${encodeURIComponent(hall)}`;
    const { timeoutMs } = this.options;
    const headers: Record<string, string> = this.boxTag === undefined ? {} : { 'if-none-match': this.boxTag };
    const answer = await this.send({ method: 'GET', path, timeoutMs, headers }, platformSchemas.boxes);
    if (answer.ok) {
      return { ok: true, value: answer.value.boxes as BoxListing[] };
    }
    const isUnchanged = answer.error.kind === 'refused' && answer.error.status === NOT_MODIFIED;
    return isUnchanged ? { ok: true, value: undefined } : answer;
  }

  /** Reads what the workers of a hall last reported. */
  async readReports(hall: HallId): Promise<Result<ReadonlyMap<WorkerId, WorkerReport>, PlatformError>> {
    const path = `/reports?hall=${encodeURIComponent(hall)}`;
    const { timeoutMs } = this.options;
    const answer = await this.send({ method: 'GET', path, timeoutMs }, platformSchemas.reports);
    if (!answer.ok) {
      return answer;
    }
    const reports = answer.value.reports.map((report) => [report.worker as WorkerId, report] as const);
    return { ok: true, value: new Map(reports) };
  }

  /** Closes the connections; calls under way fail. */
  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  private async send<Form extends z.ZodType>(
    call: Call,
    form: Form,
  ): Promise<Result<z.infer<Form>, PlatformError>> {
    const signal = AbortSignal.timeout(call.timeoutMs);
    try {
      const { statusCode, headers, body } = await this.pool.request({
        method: call.method,
        path: call.path,
        headers: {
          'user-agent': `stairline ${this.options.caller}`,
          ...call.headers,
          ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal,
      });
      const text = await body.text();
      const parsed = this.parseAnswer(statusCode, text, form);
      if (parsed.ok && headers['etag'] !== undefined) {
        this.boxTag = String(headers['etag']);
      }
      return parsed;
    } catch (thrown) {
      return { ok: false, error: this.toError(thrown, signal, call) };
    }
  }

  private toError(thrown: unknown, signal: AbortSignal, call: Call): PlatformError {
    if (signal.aborted) {
      return { kind: 'timeout', afterMs: call.timeoutMs };
    }
    return { kind: 'unreachable', reason: formatError(thrown) };
  }

  private parseAnswer<Form extends z.ZodType>(
    status: number,
    text: string,
    form: Form,
  ): Result<z.infer<Form>, PlatformError> {
    if (status !== 200) {
      return { ok: false, error: { kind: 'refused', status, reason: text.slice(0, 200) } };
    }
    try {
      const parsed = form.safeParse(JSON.parse(text));
      return parsed.success
        ? { ok: true, value: parsed.data }
        : {
            ok: false,
            error: { kind: 'badAnswer', reason: parsed.error.issues[0]?.message ?? 'unknown form' },
          };
    } catch (thrown) {
      return { ok: false, error: { kind: 'badAnswer', reason: formatError(thrown) } };
    }
  }
}
