import { WebSocket } from 'ws';
import type { Clock } from '../common/Clock';
import type { JsonClient } from '../common/JsonClient';
import type { JsonClientOptions } from '../common/JsonClientOptions';
import type { JsonResult } from '../common/JsonResult';
import { formatError } from '../common/formatError';
import { FrameBatcher } from './FrameBatcher';
import { parseFrame } from './parseFrame';
import type { RelayMessage } from './RelayMessage';
import { relayPath } from './relayPath';
import type { RelayReply } from './RelayReply';
import { relayReplySchema } from './relayReplySchema';

type JsonRequest = Parameters<JsonClient['sendJsonRequest']>[0];
type ReplyKind = RelayReply[0];
type ReplyOf<Kind extends ReplyKind> = Extract<RelayReply, readonly [Kind, ...unknown[]]>;
type ReplyHandlers = { readonly [Kind in ReplyKind]: (reply: ReplyOf<Kind>) => void };
type ConnectionState = 'connecting' | 'open' | 'leaving' | 'closed';

interface RelayConnectionOptions {
  /** Host and port of the box. */
  readonly address: string;
  readonly clock: Clock;
  /** Called once, when the box can be used. */
  readonly handleOpen: () => void;
  /** Called once, when the connection was closed, or could not be made; `callCount` calls were pending. */
  readonly handleClosed: (detail: string, wasOpen: boolean, callCount: number) => void;
}

const CONNECT_TIMEOUT_MS = 600;
/** Number of ticks without a response to a ping after which the connection is closed. Ticks of a blocked process don't add up, unlike time. */
const MAX_SILENT_TICKS = 6;

/** Connection of a leader to the call relay of another box. */
export class RelayConnection {
  private state: ConnectionState = 'connecting';
  private readonly socket: WebSocket;
  private readonly batcher: FrameBatcher<RelayMessage>;
  private readonly pendingCalls = new Map<number, (result: JsonResult) => void>();
  private callCount = 0;
  private newestClient = 0;
  private clientCount = 0;
  private pingCount = 0;
  private pendingPing: { readonly number: number; readonly sentAt: number; silentTicks: number } | undefined;
  private roundTripMs: number | undefined;
  private readonly handlers: ReplyHandlers = {
    answer: ([, call, status, value]) => this.handleResult(call, { kind: 'answered', status, value }),
    failure: ([, call, kind, detail]) => this.handleResult(call, { kind, detail }),
    pong: ([, number]) => this.handlePong(number),
    leave: () => {
      this.state = this.state === 'closed' ? 'closed' : 'leaving';
    },
  };

  constructor(private readonly options: RelayConnectionOptions) {
    this.socket = new WebSocket(`ws://${options.address}${relayPath}`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    this.batcher = new FrameBatcher({
      clock: options.clock,
      sendFrame: (text) => this.socket.send(text, (error) => error && this.stop(formatError(error))),
    });
    this.socket.on('open', () => this.handleOpen());
    this.socket.on('message', (data) => this.handleFrame(String(data)));
    this.socket.on('error', (error) => this.stop(formatError(error)));
    this.socket.on('close', () => this.stop('closed by the box'));
  }

  /** Returns whether new calls may be sent. */
  isOpen(): boolean {
    return this.state === 'open';
  }

  isClosed(): boolean {
    return this.state === 'closed';
  }

  /** Returns how long the response to the last ping took, in milliseconds; undefined before the first one. */
  getRoundTripMs(): number | undefined {
    return this.roundTripMs;
  }

  /** Adds a client at the relay, whose connections are its own, and returns its number. */
  addClient({ address, connections, headers }: JsonClientOptions): number {
    this.newestClient += 1;
    this.clientCount += 1;
    this.queueMessage(['open', this.newestClient, address, connections, headers]);
    return this.newestClient;
  }

  /** Returns the number of clients that were opened and not removed. */
  countClients(): number {
    return this.clientCount;
  }

  /** Sends a call of a client through the relay. Resolves to `interrupted` when the connection is lost first. Never rejects. */
  sendCall(client: number, { path, body, timeoutMs, mustReuseConnection }: JsonRequest): Promise<JsonResult> {
    if (this.state === 'closed') {
      return Promise.resolve({ kind: 'interrupted', detail: 'the connection to the relay is closed' });
    }
    this.callCount += 1;
    const call = this.callCount;
    this.queueMessage([
      'call',
      client,
      call,
      path,
      body as Record<string, unknown>,
      timeoutMs,
      mustReuseConnection === true,
    ]);
    return new Promise((resolve) => this.pendingCalls.set(call, resolve));
  }

  renewClient(client: number): void {
    this.queueMessage(['renew', client]);
  }

  /** Removes a client at the relay; with `isAborted` its active calls fail. */
  removeClient(client: number, isAborted: boolean): void {
    this.clientCount -= 1;
    this.queueMessage([isAborted ? 'abort' : 'close', client]);
  }

  /** Sends a ping, or closes the connection when the last one has had no response for too long. */
  handleTick(): void {
    if (this.state !== 'open' && this.state !== 'leaving') {
      return;
    }
    if (this.pendingPing === undefined) {
      this.pingCount += 1;
      this.pendingPing = { number: this.pingCount, sentAt: this.options.clock.getNow(), silentTicks: 0 };
      this.queueMessage(['ping', this.pingCount]);
      return;
    }
    this.pendingPing.silentTicks += 1;
    if (this.pendingPing.silentTicks >= MAX_SILENT_TICKS) {
      this.stop('silent');
    }
  }

  /** Closes the connection; pending calls are interrupted. Does nothing if it is closed. */
  stop(detail: string): void {
    if (this.state === 'closed') {
      return;
    }
    const wasOpen = this.state !== 'connecting';
    this.state = 'closed';
    this.batcher.stop();
    this.socket.terminate();
    const pending = [...this.pendingCalls.values()];
    this.pendingCalls.clear();
    this.options.handleClosed(detail, wasOpen, pending.length);
    pending.forEach((resolve) => resolve({ kind: 'interrupted', detail: `relay lost: ${detail}` }));
  }

  private queueMessage(message: RelayMessage): void {
    if (this.state !== 'closed') {
      this.batcher.queueMessage(message);
    }
  }

  private handleOpen(): void {
    if (this.state === 'connecting') {
      this.state = 'open';
      this.options.handleOpen();
    }
  }

  private handleFrame(text: string): void {
    const replies = parseFrame(relayReplySchema, text);
    if (replies === undefined) {
      this.stop('malformed frame');
      return;
    }
    replies.forEach((reply) => this.handleReply(reply));
  }

  private handleReply<Kind extends ReplyKind>(reply: ReplyOf<Kind>): void {
    const handle = this.handlers[reply[0] as Kind] as (reply: ReplyOf<Kind>) => void;
    handle(reply);
  }

  private handleResult(call: number, result: JsonResult): void {
    const resolve = this.pendingCalls.get(call);
    this.pendingCalls.delete(call);
    resolve?.(result);
  }

  private handlePong(number: number): void {
    if (this.pendingPing?.number === number) {
      this.roundTripMs = this.options.clock.getNow() - this.pendingPing.sentAt;
      this.pendingPing = undefined;
    }
  }
}
