import { setFlagsFromString } from 'node:v8';

/** Bytecode that a function runs before V8 considers to optimize it, in bytes; eight times V8's default. */
const INTERRUPT_BUDGET_BYTES = 540_672;
/** Cores of a box from which V8's default applies. */
const MIN_CORES_FOR_DEFAULT = 0.5;

/**
 * On a box with a small share of a core, makes V8 optimize only functions that run very often: there the compiler competes with the calls of a process
 * that has just started or begun to lead, and takes longer than it saves. Does nothing on other boxes.
 */
export const setOptimizationBudget = (cores: number): void => {
  if (cores < MIN_CORES_FOR_DEFAULT) {
    setFlagsFromString(`--interrupt-budget=${INTERRUPT_BUDGET_BYTES}`);
  }
};
