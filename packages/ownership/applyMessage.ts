import { applyEnd } from './applyEnd';
import { applyView } from './applyView';
import type { HeartbeatMessage } from './HeartbeatMessage';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import { readPeer } from './readPeer';

interface MessageContext {
  readonly rules: OwnershipRules;
  /** Local time from which the sender's ages are counted: not later than when it wrote the message. */
  readonly sentAfter: number;
  readonly now: number;
}

const applyTail = (state: OwnershipState, message: HeartbeatMessage, context: MessageContext): void => {
  if (message.tail === undefined) {
    return;
  }
  const askedAt = context.sentAfter - message.tail.ageMs;
  if (message.tail.viewNumber === state.view?.number && askedAt > state.tail.askedAt) {
    state.tail = { viewNumber: message.tail.viewNumber, askedAt };
  }
};

/** Takes what a peer said: its view, proofs of end, statement and evidence. Late and doubled messages change nothing. */
export const applyMessage = (
  state: OwnershipState,
  message: HeartbeatMessage,
  context: MessageContext,
): void => {
  const peer = readPeer(state, message.from);
  if (message.sequence <= peer.sequence) {
    return;
  }
  peer.sequence = message.sequence;
  peer.heardAt = context.now;
  if (message.view !== undefined) {
    applyView(state, message.view, context.now);
  }
  peer.viewNumber = Math.max(peer.viewNumber, message.viewNumber);
  if (state.memberSince > 0 && message.viewNumber >= state.memberSince) {
    peer.acknowledged = message.viewNumber;
  }
  peer.releases = message.releases;
  if (message.isStopped) {
    applyEnd(state, context.rules, message.from, context.now);
  }
  for (const process of message.ended) {
    applyEnd(state, context.rules, process, context.now);
  }
  applyTail(state, message, context);
};
