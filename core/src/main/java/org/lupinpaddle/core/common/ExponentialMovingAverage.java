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
 * A mean of what has been sample: of all of it at first, then of the newest, each of which counts at least a given weight
 * (an exponentially weighted mean with the plain one as its start).
 */
public final class ExponentialMovingAverage {

    private final double minWeight;
    private int count;
    private double value;

    /** Makes the mean of nothing, which is 0. */
    public ExponentialMovingAverage(double minWeight) {
        this.minWeight = minWeight;
    }

    /** Takes in one more. */
    public void add(double sample) {
        count++;
        value += (sample - value) * Math.max(1.0 / count, minWeight);
    }

    /** Returns how many have been taken in. */
    public int count() {
        return count;
    }

    /** Returns the mean. */
    public double value() {
        return value;
    }
}
