import { once } from 'node:events';
import { connect, type Socket } from 'node:net';

interface PendingResponse {
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

const HOST = '127.0.0.1';
const HEAD_END = '\r\n\r\n';
const LENGTH_PATTERN = /\r\ncontent-length: (\d+)/i;
const EXPECTED_START = 'HTTP/1.1 200 ';

/** A caller's connection, which carries one request at a time. */
export class CallerConnection {
  private received = '';
  private pending: PendingResponse | undefined;

  private constructor(private readonly socket: Socket) {
    socket.setEncoding('latin1');
    socket.on('data', (text: string) => this.handleText(text));
    socket.on('error', (error) => this.handleFailure(error));
    socket.on('close', () => this.handleFailure(new Error('connection closed without a response')));
  }

  static async create(port: number): Promise<CallerConnection> {
    const socket = connect({ host: HOST, port, noDelay: true });
    await once(socket, 'connect');
    return new CallerConnection(socket);
  }

  /** Sends a request, and resolves when its response has been read; rejects if that has another status than 200. */
  sendRequest(request: Buffer): Promise<void> {
    return new Promise((resolve, reject) => {
      this.pending = { resolve, reject };
      this.socket.write(request);
    });
  }

  /** Closes the connection, and resolves when the server has closed it too. */
  async stop(): Promise<void> {
    const closed = once(this.socket, 'close');
    this.socket.end();
    await closed;
  }

  private handleText(text: string): void {
    this.received += text;
    const headLength = this.received.indexOf(HEAD_END);
    if (headLength < 0) {
      return;
    }
    const bodyLength = Number(LENGTH_PATTERN.exec(this.received)?.[1] ?? 0);
    if (this.received.length < headLength + HEAD_END.length + bodyLength) {
      return;
    }
    const response = this.received;
    this.received = '';
    if (response.startsWith(EXPECTED_START)) {
      this.pending?.resolve();
      this.pending = undefined;
    } else {
      this.handleFailure(new Error(`expected status 200: ${response}`));
    }
  }

  private handleFailure(error: Error): void {
    this.pending?.reject(error);
    this.pending = undefined;
  }
}
