// Usage: node crowd.mjs HOST:PORT KIND CONNECTIONS. Opens connections, sends what the kind says on each, prints "sent" and keeps them open until it is
// killed. Answers are not read.
import { connect } from 'node:net';

const [address, kind, connections] = process.argv.slice(2);
const [host, port] = address.split(':');
const HOST = 'Host: jobs.example\r\n';
const MAX_SENDING_MS = 15_000;
/** Connections that are being made at a time. */
const CONNECTING = 100;

const createHead = (index, headers) =>
  `POST /jobs/${index.toString(16).padStart(16, 'c')} HTTP/1.1\r\n${HOST}Content-Type: application/json\r\n${headers}\r\n`;
const createChunks = (count, bytes) => `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n`.repeat(count);
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** What a connection sends, by the kind of the crowd. Bodies have no end. */
const kinds = {
  byteChunks: (index) => createHead(index, CHUNKED) + createChunks(60_000, 1),
  fewByteChunks: (index) => createHead(index, CHUNKED) + createChunks(4000, 1),
  largeChunks: (index) => createHead(index, CHUNKED) + createChunks(4, 65_400),
  announcedBodies: (index) => createHead(index, 'Content-Length: 262000\r\n') + 'a'.repeat(260_000),
  announcedFarOver: (index) => createHead(index, 'Content-Length: 900000000\r\n') + 'a'.repeat(2_000_000),
  chunkedFarOver: (index) => createHead(index, CHUNKED) + createChunks(30, 100_000),
  requestsAhead: () => `GET /jobs/00000000000000aa HTTP/1.1\r\n${HOST}\r\n`.repeat(10_000),
  requestsAheadWithoutHost: () => 'GET /jobs/00000000000000aa HTTP/1.1\r\n\r\n'.repeat(10_000),
  bodiesAhead: (index) => (createHead(index, 'Content-Length: 20000\r\n') + 'a'.repeat(20_000)).repeat(100),
  headsWithoutEnd: (index) => createHead(index, 'X-Filler: a').slice(0, -4),
};

const openOne = (index) =>
  new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    socket.pause();
    socket.once('connect', () => {
      resolve(
        new Promise((written) => {
          socket.write(kinds[kind](index), () => written());
          socket.once('close', () => written());
        }),
      );
    });
    socket.on('error', () => resolve(undefined));
  });

const writes = [];
for (let index = 0; index < Number(connections); index += CONNECTING) {
  const count = Math.min(CONNECTING, Number(connections) - index);
  const opened = Array.from({ length: count }, (_none, offset) =>
    openOne(index + offset).then((written) => ({ written })),
  );
  writes.push(...opened);
  await Promise.race([
    Promise.all(opened.map((one) => one)),
    new Promise((resolve) => setTimeout(resolve, 500)),
  ]);
}
await Promise.race([Promise.all(writes), new Promise((resolve) => setTimeout(resolve, MAX_SENDING_MS))]);
process.stdout.write('sent\n');
setInterval(() => undefined, 1000);
