/** Token bucket that regular operations fill and extra ones, such as retries and hedges, drain. */
export interface Budget {
  readonly tokens: number;
}

/** Fill rate and capacity of a budget. */
export interface BudgetRule {
  /** Extra operations allowed for each regular one. */
  readonly share: number;
  /** Maximum number of tokens. */
  readonly capacity: number;
}

/** Makes a full budget. */
export const makeBudget = (rule: BudgetRule): Budget => ({ tokens: rule.capacity });

/** Adds the share of one regular operation, up to the capacity. */
export const fillBudget = (budget: Budget, rule: BudgetRule): Budget =>
  budget.tokens >= rule.capacity
    ? budget
    : { tokens: Math.min(rule.capacity, budget.tokens + rule.share) };

/** Returns whether the budget allows one extra operation. */
export const hasBudget = (budget: Budget): boolean => budget.tokens >= 1;

/** Takes the token of one extra operation; check `hasBudget` first. */
export const takeBudget = (budget: Budget): Budget => ({ tokens: budget.tokens - 1 });
