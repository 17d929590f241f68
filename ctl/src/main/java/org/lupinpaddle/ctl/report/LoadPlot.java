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
package org.lupinpaddle.ctl.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CombinedDomainXYPlot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws a {@link LoadReport} as an image with one plot for each service over a common time axis. */
final class LoadPlot {

    private static final int WIDTH = 1_200;
    private static final int PLOT_HEIGHT = 260;

    private LoadPlot() {}

    /** Writes the image as a PNG file. */
    static void write(LoadReport report, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Map<String, TreeMap<Long, LoadReport.Second>> services = report.seconds();
        CombinedDomainXYPlot combined = new CombinedDomainXYPlot(new NumberAxis("second"));
        services.forEach((name, seconds) -> combined.add(plot(name, seconds)));
        JFreeChart chart = new JFreeChart("load by service", combined);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH, PLOT_HEIGHT * Math.max(1, services.size()));
    }

    private static XYPlot plot(String name, TreeMap<Long, LoadReport.Second> seconds) {
        XYSeriesCollection data = new XYSeriesCollection();
        data.addSeries(series("accepted", seconds, s -> s.accepted));
        data.addSeries(series("on time", seconds, s -> s.ends.getOrDefault(JobTrace.ObjectiveResult.ON_TIME, 0)));
        data.addSeries(series("workers", seconds, s -> s.workers));
        data.addSeries(series("needed", seconds, s -> s.needed));
        XYPlot plot = ChartFactory.createXYLineChart(name, "second", name, data).getXYPlot();
        plot.setDomainAxis(null);
        return plot;
    }

    private static XYSeries series(
            String name, TreeMap<Long, LoadReport.Second> seconds, ToLongFunction<LoadReport.Second> value) {
        XYSeries s = new XYSeries(name);
        seconds.forEach((t, second) -> {
            long v = value.applyAsLong(second);
            if (v >= 0) {
                s.add(t.doubleValue(), v);
            }
        });
        return s;
    }
}
