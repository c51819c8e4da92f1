package eiderscale.sim;

import eiderscale.config.ConfigException;
import java.io.BufferedInputStream;
import java.io.FileInputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** Runs the decision module on the simulator's wire: standard input to standard output. */
public final class Main {
    private static final int BUFFER = 1 << 16;

    private Main() {
    }

    /** Exits 0 at a clean end of input, 1 on input that breaks the wire's rules or a wrong argument. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("eiderscale: usage: java -jar eiderscale.jar adapter");
            System.exit(1);
        }
        InputStream in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER);
        int status = serve(in, new FileOutputStream(FileDescriptor.out), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int serve(InputStream in, OutputStream out, PrintStream err) {
        try {
            new Adapter(in, out).run();
            return 0;
        } catch (WireException | ConfigException e) {
            err.println("eiderscale: malformed input: " + e.getMessage());
        } catch (IOException e) {
            err.println("eiderscale: cannot read or write the wire: " + e.getMessage());
        }
        return 1;
    }
}
