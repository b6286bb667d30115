import { connect, type Socket } from 'node:net';
import { waitForDelay } from '../../packages/common/waitForDelay';
import type { Cell } from '../cell/Cell';

type Box = Cell['boxes'][number];

const RETRY_MS = 100;
const PROBE = 'GET /jobs/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n';

/** Caller that keeps a connection to each box open until the box's process is gone, even after the box has ended its side. */
export class HeldConnections {
  private readonly sockets = new Set<Socket>();
  private isStopped = false;

  constructor(cell: Cell) {
    cell.boxes.forEach((box) => void this.runConnections(box));
  }

  stop(): void {
    this.isStopped = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async runConnections(box: Box): Promise<void> {
    const [host, port] = box.front.split(':');
    while (!this.isStopped) {
      const socket = connect({ host: host!, port: Number(port), allowHalfOpen: true });
      this.sockets.add(socket);
      socket.on('connect', () => socket.write(PROBE));
      socket.resume();
      // Refused connections and resets are expected: another connection follows.
      socket.on('error', () => undefined);
      const closed = new Promise((resolve) => socket.once('close', resolve));
      await Promise.race([closed, box.process.exit]);
      socket.destroy();
      this.sockets.delete(socket);
      await waitForDelay(RETRY_MS);
    }
  }
}
