import { connect, type Socket } from 'node:net';

const RESPONSE_HEAD = /HTTP\/1\.1 (\d{3})[^\r]*\r\n((?:[^\r]+\r\n)*)\r\n/;

/** TCP connection on which a test sends the bytes of a request as it likes. */
export class RawConnection {
  private received = '';
  /** Monotonic time at which the connection ended; undefined while it is open. */
  closedAt: number | undefined;

  private constructor(private readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('utf8');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.closedAt = performance.now();
    });
  }

  /** Connects to HOST:PORT; rejects when the connection is refused. */
  static async create(address: string): Promise<RawConnection> {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawConnection(socket);
  }

  sendText(text: string): void {
    this.socket.write(text);
  }

  /** Stops reading what is received. */
  stopReading(): void {
    this.socket.pause();
  }

  /** Returns the first complete response that has been received; undefined while there is none. */
  findResponse(): { readonly status: number; readonly headers: string } | undefined {
    const match = RESPONSE_HEAD.exec(this.received);
    const length = Number(/content-length: (\d+)/i.exec(match?.[2] ?? '')?.[1] ?? 0);
    const isComplete = match !== null && this.received.length - match.index - match[0].length >= length;
    return isComplete ? { status: Number(match[1]), headers: match[2]!.toLowerCase() } : undefined;
  }

  /** Returns the number of responses that have been received, complete or not. */
  countResponses(): number {
    return this.received.split('HTTP/1.1 ').length - 1;
  }

  stop(): void {
    this.socket.destroy();
  }
}
