const HASH_OFFSET_BASIS = 2_166_136_261;
const HASH_PRIME = 16_777_619;
const HASH_BITS = 32;

/** Mixes the bits of a 32-bit number, since ids may differ in only a few. */
const toMixedBits = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), 0x85eb_ca6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2_ae35);
  return second ^ (second >>> 16);
};

const computeHash = (text: string): number => {
  let hash = HASH_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME);
  }
  return toMixedBits(hash);
};

/**
 * Computes the sampling level of a job from its id: one in 2^n jobs has a level of n or more. All boxes thereby sample the same jobs, and
 * each sample contains all smaller ones.
 */
export const computeJobSamplingLevel = (job: string): number => {
  const hash = computeHash(job);
  const lowestBit = hash & -hash;
  return lowestBit === 0 ? HASH_BITS : HASH_BITS - 1 - Math.clz32(lowestBit);
};
