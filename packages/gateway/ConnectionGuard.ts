import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Logger } from '../common/Logger';
import { HeldBodies } from './HeldBodies';
import type { HeldBody } from './HeldBody';
import type { ListenerLimits } from './ListenerLimits';
import type { RefusalCause } from './RefusalCause';

interface ConnectionGuardOptions {
  readonly limits: ListenerLimits;
  readonly logger: Logger;
  /** Called for each request that is refused and each connection that is closed by a limit. */
  readonly recordRefusal: (cause: RefusalCause) => void;
}

interface GuardedConnection {
  readonly bodies: Set<HeldBody>;
  /** Requests that have been read and not been answered. */
  requestCount: number;
  /** Bytes that the client had taken at the last check with a response waiting. */
  sentBytes: number;
  /** Monotonic time of the last check that found a response waiting and none of its bytes taken since the check before; undefined before. */
  unreadSince: number | undefined;
  /** True once a request was refused with a response that closes the connection. */
  isClosing: boolean;
}

/** A connection with Node's parser, which is not part of its types. */
interface ParsedConnection {
  readonly parser?: { onIncoming: () => number } | null;
}

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

const CHECK_INTERVAL_MS = 1000;
const RETRY_AFTER_S = '1';
/** Time for a client to read why its request was refused while it still sends it. */
const REFUSAL_LINGER_MS = 1000;

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/**
 * Keeps a listener within its limits: counts its connections, and the requests and bodies that it holds for them, before and after their handlers. What
 * exceeds a limit is refused, or closed: first what has waited longest for the rest of a request.
 */
export class ConnectionGuard {
  private readonly connections = new Map<Socket, GuardedConnection>();
  /** Connections without a complete request in progress, in the order in which they came to be so. */
  private readonly waiting = new Set<Socket>();
  private readonly upgraded = new WeakSet<Socket>();
  private isWatchingUpgrades = false;
  private readonly heldBodies: HeldBodies;
  private readonly bodies = new WeakMap<IncomingMessage, HeldBody>();
  private requestCount = 0;
  /** Refusals since the last log line, by cause. */
  private readonly refusalCounts = new Map<RefusalCause, number>();

  constructor(private readonly options: ConnectionGuardOptions) {
    this.heldBodies = new HeldBodies(options.limits.maxHeldBytes);
  }

  /** Guards a server, whose request handlers must have been added. */
  startGuarding(server: Server): void {
    const handlers = server.listeners('request') as RequestHandler[];
    server.removeAllListeners('request');
    server.on('request', (request, response) => {
      if (this.handleRequest(request, response)) {
        handlers.forEach((handle) => handle(request, response));
      }
    });
    server.on('connection', (socket) => {
      this.startWatchingUpgrades(server);
      this.handleConnection(socket);
    });
    const timer = setInterval(() => this.handleCheck(performance.now()), CHECK_INTERVAL_MS);
    timer.unref();
    server.once('close', () => {
      clearInterval(timer);
      this.logRefusals();
    });
  }

  /** Adds the body of a request that is to be read; `cancel` refuses the request. */
  addBody(request: IncomingMessage, cancel: () => void): HeldBody {
    const body = this.heldBodies.addBody(cancel);
    this.bodies.set(request, body);
    this.connections.get(request.socket)?.bodies.add(body);
    return body;
  }

  /** Reserves further bytes for a body; false if the listener holds too many. */
  reserveBytes(body: HeldBody, bytes: number): boolean {
    return this.heldBodies.reserveBytes(body, bytes);
  }

  /** Records that the body of a request has been read. */
  handleBodyRead(request: IncomingMessage): void {
    this.waiting.delete(request.socket);
    const body = this.bodies.get(request);
    if (body !== undefined) {
      this.heldBodies.recordComplete(body);
    }
  }

  /** Releases the body of a request that has been answered, or whose body will not be read. Does nothing for one without a body. */
  releaseBody(request: IncomingMessage): void {
    const body = this.bodies.get(request);
    if (body !== undefined) {
      this.heldBodies.releaseBody(body);
      this.connections.get(request.socket)?.bodies.delete(body);
    }
  }

  /** Records that a request was refused while it is being read, and closes its connection unless the rest of it arrives soon. */
  handleRefusedBody(request: IncomingMessage, cause: RefusalCause): void {
    this.recordRefusal(cause);
    this.releaseBody(request);
    const { socket } = request;
    setTimeout(() => {
      if (!request.complete) {
        socket.destroy();
      }
    }, REFUSAL_LINGER_MS).unref();
  }

  /** Leaves upgraded connections to those who handle upgrades. Without any, Node must go on treating an upgrade as a request. */
  private startWatchingUpgrades(server: Server): void {
    if (!this.isWatchingUpgrades && server.listenerCount('upgrade') > 0) {
      this.isWatchingUpgrades = true;
      server.on('upgrade', ({ socket }) => {
        this.waiting.delete(socket);
        this.upgraded.add(socket);
      });
    }
  }

  private handleConnection(socket: Socket): void {
    this.connections.set(socket, {
      bodies: new Set(),
      requestCount: 0,
      sentBytes: 0,
      unreadSince: undefined,
      isClosing: false,
    });
    socket.once('close', () => this.handleClose(socket));
    if (this.connections.size > this.options.limits.maxConnections) {
      const [longestWaiting = socket] = this.waiting;
      this.stopConnection(longestWaiting, 'connections');
    }
    if (!socket.destroyed) {
      this.waiting.add(socket);
    }
  }

  private handleClose(socket: Socket): void {
    const connection = this.connections.get(socket);
    this.connections.delete(socket);
    this.waiting.delete(socket);
    // Responses that wait for others before them are not closed with their connection.
    this.requestCount -= connection?.requestCount ?? 0;
    connection?.bodies.forEach((body) => this.heldBodies.releaseBody(body));
  }

  /** Returns whether a request may be handled; otherwise it is answered, or its connection closed. */
  private handleRequest(request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) {
      return false;
    }
    if (connection.isClosing || socket.destroyed) {
      this.stopParsing(socket);
      return false;
    }
    const { limits } = this.options;
    if (connection.requestCount >= limits.maxRequestsPerConnection) {
      this.stopConnection(socket, 'requestsAhead');
      return false;
    }
    const isOverLimit = this.requestCount >= limits.maxRequests;
    this.recordRequest(socket, connection, request, response);
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      this.sendRefusal(connection, response, 400, 'missingHost');
      return false;
    }
    if (isOverLimit) {
      response.setHeader('retry-after', RETRY_AFTER_S);
      this.sendRefusal(connection, response, 503, 'requests');
      return false;
    }
    return true;
  }

  private sendRefusal(
    connection: GuardedConnection,
    response: ServerResponse,
    status: number,
    cause: RefusalCause,
  ): void {
    this.recordRefusal(cause);
    connection.isClosing = true;
    response.setHeader('connection', 'close');
    response.writeHead(status).end();
  }

  private recordRequest(
    socket: Socket,
    connection: GuardedConnection,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    connection.requestCount += 1;
    this.requestCount += 1;
    this.waiting.delete(socket);
    if (hasBody(request)) {
      this.waiting.add(socket);
    }
    response.once('close', () => {
      if (!this.connections.has(socket)) {
        return;
      }
      connection.requestCount -= 1;
      this.requestCount -= 1;
      if (connection.requestCount === 0) {
        this.waiting.delete(socket);
        this.waiting.add(socket);
      }
    });
  }

  /** Closes connections whose clients take nothing of their responses, and logs refusals. */
  private handleCheck(now: number): void {
    const { maxHeldBytes, responseTimeoutMs } = this.options.limits;
    let unsentBytes = 0;
    for (const [socket, connection] of this.connections) {
      if (this.upgraded.has(socket)) {
        continue;
      }
      unsentBytes += socket.writableLength;
      this.updateUnreadSince(socket, connection, now);
      if (now - (connection.unreadSince ?? now) >= responseTimeoutMs) {
        this.stopConnection(socket, 'unreadResponse');
      }
    }
    if (unsentBytes > maxHeldBytes) {
      this.stopLargestUnsent(unsentBytes - maxHeldBytes);
    }
    this.logRefusals();
  }

  private updateUnreadSince(socket: Socket, connection: GuardedConnection, now: number): void {
    const sentBytes = socket.bytesWritten - socket.writableLength;
    const isUnread = socket.writableLength > 0 && sentBytes === connection.sentBytes;
    connection.sentBytes = sentBytes;
    connection.unreadSince = isUnread ? (connection.unreadSince ?? now) : undefined;
  }

  /** Closes the connections with the most unsent bytes until a number of bytes is freed. */
  private stopLargestUnsent(excessBytes: number): void {
    const sockets = [...this.connections.keys()]
      .filter((socket) => !this.upgraded.has(socket))
      .sort((left, right) => right.writableLength - left.writableLength);
    let freedBytes = 0;
    for (const socket of sockets) {
      if (freedBytes >= excessBytes) {
        return;
      }
      freedBytes += socket.writableLength;
      this.stopConnection(socket, 'unreadResponse');
    }
  }

  private stopConnection(socket: Socket, cause: RefusalCause): void {
    this.recordRefusal(cause);
    this.waiting.delete(socket);
    this.stopParsing(socket);
    socket.destroy();
  }

  /**
   * Has Node pass over the requests that follow in what it has read already. There may be thousands, which it would keep until the connection is closed,
   * after those of all other connections that can be read.
   */
  private stopParsing(socket: Socket): void {
    const { parser } = socket as ParsedConnection;
    if (parser !== undefined && parser !== null) {
      parser.onIncoming = () => 0;
    }
  }

  private recordRefusal(cause: RefusalCause): void {
    this.refusalCounts.set(cause, (this.refusalCounts.get(cause) ?? 0) + 1);
    this.options.recordRefusal(cause);
  }

  private logRefusals(): void {
    if (this.refusalCounts.size > 0) {
      this.options.logger.warn('Requests were refused, or connections closed, by a limit.', {
        ...Object.fromEntries(this.refusalCounts),
        openConnections: this.connections.size,
        requestsInProgress: this.requestCount,
      });
      this.refusalCounts.clear();
    }
  }
}
