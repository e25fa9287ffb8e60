import * as hash from './hash.js';

interface ScoredNode {
  readonly node: string;
  readonly score: number;
}

const compareScores = (a: ScoredNode, b: ScoredNode): number =>
  b.score - a.score || (a.node < b.node ? -1 : 1);

/**
 * Orders nodes for a key by rendezvous (highest random weight) hashing.
 * All callers with the same nodes get the same order, and removing one node moves only its keys.
 */
export const pickRendezvous = (
  key: string,
  nodes: readonly string[],
  count: number,
): readonly string[] =>
  nodes
    .map((node): ScoredNode => ({ node, score: hash.hashText(`${key}|${node}`) }))
    .sort(compareScores)
    .slice(0, count)
    .map((ranked) => ranked.node);
