/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.common;

/**
 * An exponentially weighted moving average that starts as a plain mean: the n-th sample has the weight 1/n, but
 * never less than a given minimum, so that recent samples count more.
 */
public final class ExponentialMovingAverage {

    private final double minWeight;
    private int count;
    private double value;

    /** Creates an average without samples, whose value is 0. */
    public ExponentialMovingAverage(double minWeight) {
        this.minWeight = minWeight;
    }

    /** Adds a sample. */
    public void add(double sample) {
        count++;
        value += (sample - value) * Math.max(1.0 / count, minWeight);
    }

    /** Returns the number of samples. */
    public int count() {
        return count;
    }

    /** Returns the current average. */
    public double value() {
        return value;
    }
}
