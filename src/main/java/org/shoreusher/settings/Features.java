package org.shoreusher.settings;

import org.shoreusher.balance.BalanceSettings;

/**
 * Which optional features a controller uses.
 *
 * @param balance settings of the balancer; null: it is off
 */
public record Features(BalanceSettings balance) {
    /** No feature at all. */
    public static final Features NONE = new Features(null);
}
