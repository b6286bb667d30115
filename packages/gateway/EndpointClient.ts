import type { Dispatcher } from 'undici';
import type { Clock } from '../common/Clock';
import { parseJson } from '../common/parseJson';
import type { Result } from '../common/Result';
import { formatError } from '../common/formatError';
import type { Dispatch } from './Dispatch';
import type { DispatchResult } from './DispatchResult';
import { EndpointConnection } from './EndpointConnection';
import type { FenceResult } from './FenceResult';
import { fenceResponseSchema } from './fenceResponseSchema';
import { headerNames } from './headerNames';
import { createConnectedSocket } from './createConnectedSocket';

interface EndpointClientOptions {
  /** Host and port. */
  readonly address: string;
  /** Maximum number of connections from this process. */
  readonly maxConnections: number;
  /** Maximum size of a response, in bytes. */
  readonly maxResponseBytes: number;
  readonly connectTimeoutMs: number;
  readonly clock: Clock;
}

/** Grace period for reading a response that has already arrived in the socket. */
const PENDING_RESPONSE_GRACE_MS = 100;

interface ControlResponse {
  readonly status: number;
  readonly text: string;
}

type ConnectionResult = { readonly connection: EndpointConnection } | { readonly failure: DispatchResult };

/** Status returned by an endpoint that has seen a higher fencing token. */
const CONFLICT_STATUS = 409;

const NO_RIGHT: DispatchResult = { kind: 'notSent', why: 'noRight', reason: 'the right to place was lost' };
const FENCED: DispatchResult = { kind: 'notSent', why: 'fenced', reason: 'the endpoint has a later owner' };

/** Client of one endpoint: manages a pool of connections and sends tasks over them. */
export class EndpointClient {
  private connections: EndpointConnection[] = [];
  private openingCount = 0;

  constructor(private readonly options: EndpointClientOptions) {}

  /** Returns the number of connections that are open or being opened. */
  countConnections(): number {
    return this.connections.filter((connection) => !connection.isClosed).length + this.openingCount;
  }

  /** Sends a task and resolves when it has ended or its time limit has passed. Never rejects. */
  async sendTask(dispatch: Dispatch): Promise<DispatchResult> {
    const claimed = await this.claimConnection();
    if ('failure' in claimed) {
      return claimed.failure;
    }
    const { connection } = claimed;
    if (!dispatch.hasRight()) {
      connection.isBusy = false;
      return NO_RIGHT;
    }
    const bytesBefore = connection.getBytesWritten();
    const pending = this.sendOverConnection(connection, dispatch);
    void connection.waitForWrite(bytesBefore).then(dispatch.handleWritten);
    const result = await pending;
    connection.isBusy = false;
    if (result.kind === 'unknown') {
      connection.stop();
    }
    return result;
  }

  /** Sends a control request for a task. Returns the status of the response, or 0 if there was none. */
  async sendTaskControl(
    task: string,
    action: 'checkpoint' | 'renew' | 'stop',
    limitMs: number,
  ): Promise<number> {
    const path = `/tasks/${encodeURIComponent(task)}/${action}`;
    const response = await this.sendControlRequest(path, { [headerNames.timeLimit]: String(limitMs) });
    return response.ok ? response.value.status : 0;
  }

  /** Makes the endpoint reject requests with lower fencing tokens, and returns the tasks that run there. */
  async sendFence(token: number): Promise<FenceResult> {
    const response = await this.sendControlRequest('/fence', { [headerNames.ownerToken]: String(token) });
    if (!response.ok) {
      return { kind: 'unanswered', reason: response.error };
    }
    const { status, text } = response.value;
    if (status === CONFLICT_STATUS) {
      return { kind: 'refused' };
    }
    const parsed = fenceResponseSchema.safeParse(parseJson(text));
    return parsed.success
      ? { kind: 'fenced', tasks: parsed.data.tasks }
      : { kind: 'unanswered', reason: `status ${status}, not a list of tasks` };
  }

  /** Closes idle connections. */
  stopIdleConnections(): void {
    for (const connection of this.connections) {
      if (!connection.isBusy) {
        connection.stop();
      }
    }
  }

  /** Closes all connections; active dispatches end as `unknown`. */
  stop(): void {
    for (const connection of this.connections) {
      connection.stop();
    }
  }

  /** Sends a request with a short timeout. On failure returns the reason. */
  private async sendControlRequest(
    path: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<Result<ControlResponse, string>> {
    const claimed = await this.claimConnection();
    if ('failure' in claimed) {
      return { ok: false, error: 'no connection' };
    }
    const { connection } = claimed;
    try {
      const signal = AbortSignal.timeout(this.options.connectTimeoutMs);
      const { statusCode, body } = await connection.client.request({ method: 'POST', path, headers, signal });
      return { ok: true, value: { status: statusCode, text: await body.text() } };
    } catch (thrown) {
      connection.stop();
      return { ok: false, error: formatError(thrown) };
    } finally {
      connection.isBusy = false;
    }
  }

  private async claimConnection(): Promise<ConnectionResult> {
    this.connections = this.connections.filter((connection) => !connection.isClosed);
    const idle = this.connections.find((connection) => !connection.isBusy);
    if (idle !== undefined) {
      idle.isBusy = true;
      return { connection: idle };
    }
    if (this.countConnections() >= this.options.maxConnections) {
      return { failure: { kind: 'notSent', why: 'noConnection', reason: 'all connections are in use' } };
    }
    return this.createConnection();
  }

  private async createConnection(): Promise<ConnectionResult> {
    this.openingCount += 1;
    const { address, maxResponseBytes: answerLimit, connectTimeoutMs } = this.options;
    const socket = await createConnectedSocket({ address, timeoutMs: connectTimeoutMs });
    this.openingCount -= 1;
    if (!socket.ok) {
      return { failure: { kind: 'notSent', why: 'noConnection', reason: socket.error } };
    }
    const connection = new EndpointConnection({
      address,
      socket: socket.value,
      maxResponseBytes: answerLimit,
    });
    connection.isBusy = true;
    this.connections.push(connection);
    return { connection };
  }

  private async sendOverConnection(
    connection: EndpointConnection,
    dispatch: Dispatch,
  ): Promise<DispatchResult> {
    // The caller's disconnect does not abort the request: the worker runs the task until it ends or reaches its time limit.
    const limit = this.startTimeLimit(dispatch);
    try {
      const response = await connection.client.request({
        method: 'POST',
        path: `/run/${encodeURIComponent(dispatch.row)}`,
        headers: {
          ...dispatch.headers,
          [headerNames.task]: dispatch.task,
          [headerNames.timeLimit]: String(dispatch.timeLimitMs),
          [headerNames.demand]: JSON.stringify(dispatch.demand),
          [headerNames.callerRequest]: dispatch.callerRequest,
          [headerNames.ownerToken]: String(dispatch.token),
        },
        body: dispatch.body,
        signal: limit.signal,
      });
      return await this.readResponse(response, dispatch);
    } catch (thrown) {
      const reason = limit.signal.aborted ? 'no end seen within the time limit' : formatError(thrown);
      return { kind: 'unknown', reason };
    } finally {
      limit.stop();
    }
  }

  private startTimeLimit(dispatch: Dispatch): { signal: AbortSignal; stop: () => void } {
    const abort = new AbortController();
    let timer: NodeJS.Timeout | undefined;
    const handleTimer = () => {
      const remainingMs = dispatch.getDeadline() - this.options.clock.getNow();
      if (remainingMs <= 0) {
        // After a pause of the process the timer may fire before a response in the socket has been read.
        timer = setTimeout(() => abort.abort(), PENDING_RESPONSE_GRACE_MS);
      } else {
        timer = setTimeout(handleTimer, remainingMs);
      }
    };
    handleTimer();
    return { signal: abort.signal, stop: () => clearTimeout(timer) };
  }

  private async readResponse(response: Dispatcher.ResponseData, dispatch: Dispatch): Promise<DispatchResult> {
    const { headers, statusCode } = response;
    const body = Buffer.from(await response.body.arrayBuffer());
    if (headers[headerNames.task] !== dispatch.task) {
      return { kind: 'unknown', reason: 'the answer belongs to another task' };
    }
    if (statusCode === CONFLICT_STATUS && headers[headerNames.fenced] === '1') {
      return FENCED;
    }
    const contentLength = headers['content-length'];
    const isFramed = contentLength !== undefined || headers['transfer-encoding'] !== undefined;
    if (!isFramed || (contentLength !== undefined && Number(contentLength) !== body.length)) {
      return { kind: 'unknown', reason: 'the answer cannot be shown to be whole' };
    }
    if (headers[headerNames.yielded] === '1') {
      return { kind: 'yielded' };
    }
    const contentType = String(headers['content-type'] ?? 'application/octet-stream');
    return { kind: 'answered', status: statusCode, contentType, body };
  }
}
